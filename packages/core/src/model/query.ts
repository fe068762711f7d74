/** Queries that operators can send to an entry, and the rows of their results. */

export enum QueryKind {
  Upstreams = 'upstreams',
  Groups = 'groups',
  Domains = 'domains',
  Workspaces = 'workspaces',
  Requests = 'requests',
  Load = 'load',
  Entries = 'entries',
  Config = 'config',
}

/** One row of a query result; the columns are fixed for each kind. */
export type QueryRow = Readonly<Record<string, string | number | boolean>>;
