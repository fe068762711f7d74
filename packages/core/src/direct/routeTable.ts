/**
 * Routes, pools and workspaces of one configuration, as an entry that calls upstreams itself needs
 * them. Immutable: a newer configuration is a new table.
 */

import type { EngineCosts } from './passModel.js';

/** What may be repeated of a route's requests. */
export enum RouteKind {
  /** May run any number of times. */
  Repeatable = 'repeatable',
  /** Runs at most once for each request of a caller. */
  Once = 'once',
  /** Answered by a stream of numbered events. */
  Stream = 'stream',
}

/** One of the pools that a route's requests are split over. */
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
  /** Longest time that a caller is kept waiting. */
  readonly timeoutMs: number;
  /** Time within which an answer, or the first event of a stream, has its full value. */
  readonly targetMs: number;
  /** Longest pause between the events of a stream that is on time. */
  readonly pauseTargetMs: number;
  /** Silence after which callers give a request up: before a stream's first event, or after one. */
  readonly patienceMs: number;
  /** 0 goes first. */
  readonly priority: number;
  readonly shares: readonly PoolShare[];
  /** Upstreams that one request may be sent to. */
  readonly attempts: number;
  /** Whether callers need no key. */
  readonly isPublic: boolean;
  /** Whether a stream may go on at another upstream after its last event. */
  readonly isResumable: boolean;
}

/** Whether requests of a route may be sent again after they may have run. */
export function canRunAgain({ kind, isResumable }: Route): boolean {
  return kind === RouteKind.Repeatable || (kind === RouteKind.Stream && isResumable);
}

/** How a group's experts may be placed. */
export interface GroupProfile {
  /** Layers, or sets of layers, that are placed apart. */
  readonly layers: number;
  readonly experts: number;
  /** Experts of a layer that a rank holds at most. */
  readonly slotsPerRank: number;
  /** Experts of a layer that a rank may copy beside those it holds. */
  readonly spareExperts: number;
}

/** What a pool's model engines bear; undefined for plain services. */
export interface EngineProfile {
  /** Requests that are worked on at the same time. */
  readonly slots: number;
  /** What its work costs; undefined where the configuration does not tell. */
  readonly costs?: EngineCosts;
  /** Set where the pool's engines are ranks of expert-parallel groups. */
  readonly group: GroupProfile | undefined;
}

export interface DirectPool {
  readonly name: string;
  /** Requests a second that a cold upstream bears; 0 where its upstreams are never cold. */
  readonly coldPerS: number;
  readonly engine: EngineProfile | undefined;
}

export interface DirectWorkspace {
  readonly name: string;
  readonly keys: readonly string[];
  /** Goes before the route's where it is set. */
  readonly priority: number | undefined;
}

/** What a caller may send, and how long it may take. */
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

/** Every prefix of a path that ends with a slash, the longest one first. */
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

/** Finds routes, pools and workspaces of one configuration. */
export class RouteTable {
  readonly version: number;

  readonly limits: CallerLimits;

  readonly #routes = new Map<string, Map<string, Route>>();

  readonly #pools: ReadonlyMap<string, DirectPool>;

  readonly #workspacesByKey = new Map<string, DirectWorkspace>();

  readonly #hasWorkspaces: boolean;

  constructor(content: RouteTableContent) {
    this.version = content.version;
    this.limits = content.limits;
    content.routes.forEach((route) => this.#addRoute(route));
    this.#pools = new Map(content.pools.map((pool) => [pool.name, pool]));
    this.#hasWorkspaces = content.workspaces.length > 0;
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

  /** The route of the host whose prefix is the longest one that begins the path. */
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

  /** Whether a request of the route has to name a workspace by its key. */
  isKeyRequired(route: Route): boolean {
    return this.#hasWorkspaces && !route.isPublic;
  }

  #addRoute(route: Route): void {
    const host = removePort(route.host);
    const routes = this.#routes.get(host) ?? new Map<string, Route>();
    routes.set(route.pathPrefix, route);
    this.#routes.set(host, routes);
  }
}

/**
 * Chooses the pool of one request by the route's weights.
 *
 * @param draw random number from 0 up to, but not including, 1
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
