/**
 * Routes, pools and workspaces of one configuration, as needed by an entry that calls upstreams
 * itself. Immutable: a newer configuration results in a new table.
 */

import type { EngineCosts } from './passModel.js';

/** Whether and how requests of a route may be repeated. */
export enum RouteKind {
  /** May run any number of times. */
  Repeatable = 'repeatable',
  /** Runs at most once per request of a caller. */
  Once = 'once',
  /** Answered with a stream of numbered events. */
  Stream = 'stream',
}

/** One of the pools over which a route's requests are split. */
export interface PoolShare {
  readonly pool: string;
  readonly weight: number;
}

export interface Route {
  readonly name: string;
  /** Lower case, without a port. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Longest time in which a caller gets a complete response. */
  readonly timeoutMs: number;
  /** Latency target for a response, or for the first event of a stream. */
  readonly targetMs: number;
  /** Longest pause between the events of a stream that counts as on time. */
  readonly pauseTargetMs: number;
  /**
   * Time without an event after which callers give up, before the first event of a stream or
   * between events.
   */
  readonly patienceMs: number;
  /** 0 is the highest priority. */
  readonly priority: number;
  readonly shares: readonly PoolShare[];
  /** Number of upstreams to which one request may be sent. */
  readonly attempts: number;
  /** Whether callers need no API key. */
  readonly isPublic: boolean;
  /** Whether a stream can be resumed at another upstream after its last event. */
  readonly isResumable: boolean;
}

/** Whether requests of a route may be sent again although they may have run. */
export function canRunAgain({ kind, isResumable }: Route): boolean {
  return kind === RouteKind.Repeatable || (kind === RouteKind.Stream && isResumable);
}

/** Constraints on the placement of a group's experts. */
export interface GroupProfile {
  /** Layers, or sets of layers, whose experts are placed independently. */
  readonly layers: number;
  readonly experts: number;
  /** Maximum number of a layer's experts that a rank can hold. */
  readonly slotsPerRank: number;
  /** Number of a layer's experts of which a rank can hold additional copies. */
  readonly spareExperts: number;
}

/** Properties of a pool's model engines. */
export interface EngineProfile {
  /** Requests that an engine works on at the same time. */
  readonly slots: number;
  /** Costs of the engine's work; undefined where not configured. */
  readonly costs?: EngineCosts;
  /** Set where the pool's engines are ranks of expert-parallel groups. */
  readonly group: GroupProfile | undefined;
}

export interface DirectPool {
  readonly name: string;
  /** Requests per second that a cold upstream can take; 0 where upstreams are never cold. */
  readonly coldPerS: number;
  readonly engine: EngineProfile | undefined;
}

export interface DirectWorkspace {
  readonly name: string;
  readonly keys: readonly string[];
  /** Overrides the route's priority where it is set. */
  readonly priority: number | undefined;
  /** Share of a pool's capacity relative to other workspaces; 1 where it is not set. */
  readonly weight?: number | undefined;
}

/** Limits on the size and duration of a caller's request. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

export interface RouteTableContent {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly pools: readonly DirectPool[];
  readonly workspaces: readonly DirectWorkspace[];
  readonly limits: CallerLimits;
}

/** Lists the prefixes of a path that end with a slash, the longest one first. */
function listPrefixes(path: string): readonly string[] {
  const end = path.search(/[?#]/u);
  const plain = end < 0 ? path : path.slice(0, end);
  const prefixes: string[] = [];
  for (let at = plain.lastIndexOf('/'); at >= 0; at = plain.lastIndexOf('/', at - 1)) {
    prefixes.push(plain.slice(0, at + 1));
    if (at === 0) break;
  }
  return prefixes;
}

function removePort(host: string): string {
  return host.replace(/:\d+$/u, '').toLowerCase();
}

/** Looks up routes, pools and workspaces of one configuration. */
export class RouteTable {
  readonly version: number;

  readonly limits: CallerLimits;

  readonly #routes = new Map<string, Map<string, Route>>();

  readonly #pools: ReadonlyMap<string, DirectPool>;

  readonly #prioritiesByPool = new Map<string, Set<number>>();

  readonly #workspacesByKey = new Map<string, DirectWorkspace>();

  readonly #weights: ReadonlyMap<string, number>;

  readonly #hasWorkspaces: boolean;

  /** Whether the pools are shared by several workspaces with keys. */
  readonly isShared: boolean;

  constructor(content: RouteTableContent) {
    this.version = content.version;
    this.limits = content.limits;
    content.routes.forEach((route) => this.#addRoute(route));
    this.#pools = new Map(content.pools.map((pool) => [pool.name, pool]));
    this.#hasWorkspaces = content.workspaces.length > 0;
    this.#weights = new Map(content.workspaces.map(({ name, weight }) => [name, weight ?? 1]));
    this.isShared = content.workspaces.filter(({ keys }) => keys.length > 0).length > 1;
    content.workspaces.forEach((workspace) => {
      workspace.keys.forEach((key) => this.#workspacesByKey.set(key, workspace));
    });
  }

  get pools(): readonly DirectPool[] {
    return [...this.#pools.values()];
  }

  /** Names of all routes. */
  listRouteNames(): ReadonlySet<string> {
    const routes = [...this.#routes.values()].flatMap((byPrefix) => [...byPrefix.values()]);
    return new Set(routes.map(({ name }) => name));
  }

  /** Returns the route of the host with the longest prefix that matches the path. */
  findRoute(host: string, path: string): Route | undefined {
    const routes = this.#routes.get(removePort(host));
    if (!routes) return undefined;
    const prefix = listPrefixes(path).find((each) => routes.has(each));
    return prefix === undefined ? undefined : routes.get(prefix);
  }

  findPool(name: string): DirectPool | undefined {
    return this.#pools.get(name);
  }

  findWorkspace(key: string): DirectWorkspace | undefined {
    return this.#workspacesByKey.get(key);
  }

  /** Share of a workspace relative to others. */
  readWeight(workspace: string): number {
    return this.#weights.get(workspace) ?? 1;
  }

  /** Whether the requests of a pool differ in priority by their routes. */
  hasPriorities(pool: string): boolean {
    return (this.#prioritiesByPool.get(pool)?.size ?? 0) > 1;
  }

  /** Whether a request of the route needs the API key of a workspace. */
  isKeyRequired(route: Route): boolean {
    return this.#hasWorkspaces && !route.isPublic;
  }

  #addRoute(route: Route): void {
    const host = removePort(route.host);
    const routes = this.#routes.get(host) ?? new Map<string, Route>();
    routes.set(route.pathPrefix, route);
    route.shares.forEach(({ pool }) => {
      const priorities = this.#prioritiesByPool.get(pool) ?? new Set();
      this.#prioritiesByPool.set(pool, priorities.add(route.priority));
    });
    this.#routes.set(host, routes);
  }
}

/**
 * Chooses the pool of a request at random by the weights of the route.
 *
 * @param draw random number from 0 (inclusive) to 1 (exclusive)
 */
export function choosePool(route: Route, draw: number): string | undefined {
  const total = route.shares.reduce((sum, { weight }) => sum + weight, 0);
  let rest = draw * total;
  const chosen = route.shares.find(({ weight }) => {
    rest -= weight;
    return rest < 0;
  });
  return (chosen ?? route.shares[0])?.pool;
}
