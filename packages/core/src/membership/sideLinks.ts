/**
 * Maintains the links to the side processes of the configured upstreams.
 *
 * An upstream that is removed from the configuration gets no new work. Its link is closed once
 * this entry has no requests in flight there.
 */
import { CONFIG_PREFIX, ConfigKind, type Upstream } from '../config/object.js';
import { SideLinkState, type UpstreamState } from '../state/entryBoard.js';
import { HeartbeatTimer } from './heartbeatTimer.js';
import type { Registration } from './registry.js';
import { SideLink, type SideLinkContext } from './sideLink.js';
import { chooseSubset } from './sideSubset.js';

/** Range of the random delay before a first connection, so that not all open at once. */
const DIAL_SPREAD_MS = 20;

const UPSTREAM_PREFIX = `${CONFIG_PREFIX}${ConfigKind.Upstream}/`;

const DOMAIN_PREFIX = `${CONFIG_PREFIX}${ConfigKind.Domain}/`;

const GROUP_PREFIX = `${CONFIG_PREFIX}${ConfigKind.Group}/`;

export interface SideLinksOptions extends SideLinkContext {
  /** Registration of a side process; its address takes precedence over the configured one. */
  readonly readRegistration: (upstream: string) => Registration | undefined;
  /** Whether the platform's list of VMs marks the upstream's VM as leaving. */
  readonly isListedLeaving: (upstream: string) => boolean;
}

/** Whether a change to the object can change the choice of upstreams to link to. */
function isPlacementKey(key: string): boolean {
  return [UPSTREAM_PREFIX, DOMAIN_PREFIX, GROUP_PREFIX].some((prefix) => key.startsWith(prefix));
}

function createUpstreamState(upstream: Upstream, address: string): UpstreamState {
  return {
    name: upstream.name,
    pool: upstream.pool,
    domain: upstream.domain,
    address,
    linkState: SideLinkState.Connecting,
    link: undefined,
    sideIncarnation: '',
    tickMs: 0,
    lastReceivedAtMs: 0,
    configRevision: 0,
    isStopping: false,
    report: undefined,
    reportAtMs: Number.NEGATIVE_INFINITY,
    inFlight: 0,
    sentSinceReport: 0,
  };
}

/** The links of one entry to side processes. */
export class SideLinks {
  readonly #options: SideLinksOptions;

  readonly #links = new Map<string, SideLink>();

  /** Links that are kept only until their requests in flight have ended. */
  readonly #retired = new Set<SideLink>();

  readonly #dialTimers = new Set<NodeJS.Timeout>();

  /** Chosen upstreams, and the entries that they were chosen for; undefined if out of date. */
  #wanted: { readonly entries: string; readonly upstreams: readonly Upstream[] } | undefined;

  readonly #heartbeatTimer: HeartbeatTimer;

  #isRunning = false;

  constructor(options: SideLinksOptions) {
    this.#options = options;
    this.#heartbeatTimer = new HeartbeatTimer(
      options.timing.heartbeatMs,
      (nowMs, isSilenceChecked) => this.#onHeartbeatTick(nowMs, isSilenceChecked),
    );
    options.feed.onUpdate((update) => {
      if (update.keys.some(isPlacementKey)) {
        this.#wanted = undefined;
        this.reconcile();
      }
      this.#links.forEach((link) => link.pushUpdate(update));
    });
  }

  /** Starts to open links and to send heartbeats. */
  start(): void {
    if (this.#isRunning) return;
    this.#isRunning = true;
    this.#heartbeatTimer.start();
    this.reconcile();
  }

  /** Closes all links. */
  stop(): void {
    this.#isRunning = false;
    this.#heartbeatTimer.stop();
    this.#dialTimers.forEach((timer) => clearTimeout(timer));
    this.#links.forEach((link) => link.close('stopping'));
    this.#links.clear();
  }

  /** Opens, redials and retires links to match configuration, registry and known entries. */
  reconcile(): void {
    if (!this.#isRunning) return;
    const wanted = this.#chooseWanted();
    const names = new Set(wanted.map((upstream) => upstream.name));
    [...this.#links.values()]
      .filter((link) => !names.has(link.state.name))
      .forEach((link) => {
        this.#retire(link);
      });
    wanted.forEach((upstream) => this.#ensureLink(upstream));
  }

  /** Chooses again only if upstreams, domains, groups or the known entries have changed. */
  #chooseWanted(): readonly Upstream[] {
    const { board } = this.#options;
    const entries = [...board.peers.keys()].join(' ');
    if (this.#wanted?.entries !== entries) {
      this.#wanted = { entries, upstreams: chooseSubset(board) };
    }
    return this.#wanted.upstreams;
  }

  #ensureLink(upstream: Upstream): void {
    const registration = this.#options.readRegistration(upstream.name);
    const address = registration?.address ?? upstream.address;
    const link = this.#links.get(upstream.name);
    if (!link) {
      this.#createLink(upstream, address);
      return;
    }
    const { state } = link;
    if (this.#retired.has(link)) return;
    if (state.pool !== upstream.pool || state.domain !== upstream.domain) {
      this.#retire(link);
      return;
    }
    state.isListedLeaving = this.#options.isListedLeaving(upstream.name);
    if (state.address === address) return;
    state.address = address;
    link.redial();
  }

  #createLink(upstream: Upstream, address: string): void {
    const state = createUpstreamState(upstream, address);
    const link = new SideLink(this.#options, state);
    this.#options.board.upstreams.set(upstream.name, state);
    this.#links.set(upstream.name, link);
    const timer = setTimeout(() => {
      this.#dialTimers.delete(timer);
      link.dial();
    }, this.#options.random.next() * DIAL_SPREAD_MS);
    this.#dialTimers.add(timer);
  }

  /** Takes an upstream out of service, and closes the link once no requests are in flight. */
  #retire(link: SideLink): void {
    const { state } = link;
    link.retire();
    this.#retired.add(link);
    if (state.inFlight > 0 && state.link) return;
    this.#retired.delete(link);
    link.close('no longer configured');
    this.#links.delete(state.name);
    if (this.#options.board.upstreams.get(state.name) === state) {
      this.#options.board.upstreams.delete(state.name);
    }
  }

  #onHeartbeatTick(nowMs: number, isSilenceChecked: boolean): void {
    this.#links.forEach((link) => link.onHeartbeatTick(nowMs, isSilenceChecked));
    this.#retired.forEach((link) => this.#retire(link));
    this.reconcile();
  }
}
