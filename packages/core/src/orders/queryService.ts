/**
 * Answers operators' queries from the state of one entry.
 *
 * Load and links are those that this entry knows of. In a large fleet each entry is linked to only
 * some of the upstreams, and shows the others as not linked.
 */
import { ConfigKind, type Domain, type Upstream } from '../config/object.js';
import { QueryKind, type QueryRow } from '../model/query.js';
import type { EntryBoard, UpstreamState } from '../state/entryBoard.js';

/** Fields that are omitted from rows of configuration. */
const HIDDEN_FIELDS = new Set(['orders', 'name', 'keySha256']);

/** Lists rows that another component of the entry provides. */
export type RowSource = () => readonly QueryRow[];

/** Load of one pool in one failure domain. */
interface LoadRow {
  readonly [column: string]: string | number;
  readonly pool: string;
  readonly domain: string;
  upstreams: number;
  inFlight: number;
  queued: number;
  limit: number;
}

export interface QueryServiceOptions {
  readonly board: EntryBoard;
  /** Requests in flight at this entry. */
  readonly listRequests: RowSource;
  /** Runtime state of groups, merged by `name` into the rows of their configuration. */
  readonly listGroups?: RowSource | undefined;
}

function formatValue(value: unknown): string | number | boolean {
  if (typeof value === 'number' || typeof value === 'boolean') return value;
  return typeof value === 'string' ? value : JSON.stringify(value ?? '');
}

function describeLoad(state: UpstreamState | undefined): QueryRow {
  const report = state?.report;
  return {
    link: state?.linkState.toLowerCase() ?? 'none',
    inFlight: report?.inFlight ?? 0,
    queued: report?.queued ?? 0,
    limit: report?.limit ?? 0,
    warmth: report?.warmth ?? 'unknown',
    leaving: Boolean(report?.isLeaving || state?.isStopping || state?.isListedLeaving),
    drained: report?.isDrained ?? false,
  };
}

function isMatching(row: QueryRow, filter: Readonly<Record<string, string>>): boolean {
  return Object.entries(filter).every(([column, value]) => String(row[column] ?? '') === value);
}

/** Answers queries by operators. */
export class QueryService {
  readonly #options: QueryServiceOptions;

  readonly #board: EntryBoard;

  constructor(options: QueryServiceOptions) {
    this.#options = options;
    this.#board = options.board;
  }

  /**
   * Answers a query.
   *
   * @param filter text that the named columns must equal
   */
  query(kind: QueryKind, filter: Readonly<Record<string, string>>): readonly QueryRow[] {
    return this.#list(kind).filter((row) => isMatching(row, filter));
  }

  #list(kind: QueryKind): readonly QueryRow[] {
    const { config } = this.#board;
    switch (kind) {
      case QueryKind.Upstreams:
        return config.list(ConfigKind.Upstream).map((upstream) => this.#describeUpstream(upstream));
      case QueryKind.Domains:
        return config.list(ConfigKind.Domain).map((domain) => this.#describeDomain(domain));
      case QueryKind.Load:
        return this.#listLoad();
      case QueryKind.Workspaces:
        return this.#listWorkspaces();
      case QueryKind.Entries:
        return this.#listEntries();
      case QueryKind.Groups:
        return this.#listGroups();
      case QueryKind.Requests:
        return this.#options.listRequests();
      case QueryKind.Config:
        return this.#listConfig();
      default:
        return [];
    }
  }

  #describeUpstream(upstream: Upstream): QueryRow {
    const { name, pool, domain, group, rank } = upstream;
    const state = this.#board.upstreams.get(name);
    const place = { name, pool, domain, group: group ?? '', rank: rank ?? '' };
    const models = state?.report?.models.join(' ') ?? '';
    const address = state?.address ?? upstream.address;
    return { ...place, address, ...describeLoad(state), models };
  }

  #describeDomain(domain: Domain): QueryRow {
    const upstreams = [...this.#board.upstreams.values()];
    const own = upstreams.filter((upstream) => upstream.domain === domain.name);
    return {
      name: domain.name,
      region: domain.region,
      state: domain.state,
      upstreams: own.length,
      inFlight: own.reduce((sum, { report }) => sum + (report?.inFlight ?? 0), 0),
      limit: own.reduce((sum, { report }) => sum + (report?.limit ?? 0), 0),
      version: this.#board.config.readVersion(`config/${ConfigKind.Domain}/${domain.name}`),
    };
  }

  #listLoad(): readonly QueryRow[] {
    const rows = new Map<string, LoadRow>();
    this.#board.upstreams.forEach(({ pool, domain, report }) => {
      const key = `${pool}/${domain}`;
      const row = rows.get(key) ?? { pool, domain, upstreams: 0, inFlight: 0, queued: 0, limit: 0 };
      row.upstreams += 1;
      row.inFlight += report?.inFlight ?? 0;
      row.queued += report?.queued ?? 0;
      row.limit += report?.limit ?? 0;
      rows.set(key, row);
    });
    return [...rows.values()];
  }

  #listWorkspaces(): readonly QueryRow[] {
    return this.#board.config.list(ConfigKind.Workspace).map((workspace) => {
      const { name, requestsPerSecond, burst, weight } = workspace;
      return { name, requestsPerSecond, burst, weight };
    });
  }

  #listEntries(): readonly QueryRow[] {
    const board = this.#board;
    const own = {
      name: board.name,
      incarnation: board.incarnation,
      link: 'self',
      revision: board.config.revision,
      current: board.isCurrent,
      stopping: board.isStopping,
    };
    const peers = [...board.peers.values()].map((peer) => ({
      name: peer.name,
      incarnation: peer.incarnation,
      link: peer.link ? 'open' : 'lost',
      revision: peer.configRevision,
      current: 'unknown',
      stopping: peer.isStopping ?? false,
    }));
    return [own, ...peers];
  }

  #listGroups(): readonly QueryRow[] {
    const known = new Map((this.#options.listGroups?.() ?? []).map((row) => [row.name, row]));
    return this.#board.config.list(ConfigKind.Group).map((group) => {
      const { name, pool, ranks, layers, expertsPerLayer, isRebalancePaused } = group;
      const linked = [...this.#board.upstreams.values()].filter(
        (state) => this.#board.config.get(ConfigKind.Upstream, state.name)?.group === name,
      );
      const fixed = { name, pool, ranks, layers, expertsPerLayer, paused: isRebalancePaused };
      return { ...fixed, linked: linked.length, ...known.get(name) };
    });
  }

  #listConfig(): readonly QueryRow[] {
    return this.#board.config.listChanges(0).flatMap(({ key, version, value }) => {
      const [, kind, name] = key.split('/');
      if (!kind || !name || typeof value !== 'object' || value === null) return [];
      const fields = Object.entries(value)
        .filter(([field]) => !HIDDEN_FIELDS.has(field))
        .map(([field, one]) => `${field}=${formatValue(one)}`);
      return [{ kind, name, version, fields: fields.join(' ') }];
    });
  }
}
