/** What operators can ask an entry, and the rows that come back. */

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

/** One row of an answer; columns are fixed per kind. */
export type QueryRow = Readonly<Record<string, string | number | boolean>>;
