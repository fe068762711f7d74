/**
 * Slow start of a failure domain after operators have restored it.
 *
 * Two bounds apply at once. The limits that the side processes report rise only on completed work,
 * so a domain with cold engines gets no more than they can handle. And the share rises with the
 * time since this entry saw the domain become active, so that entries with lagging reports do not
 * all send work to it at the same moment. The starting share decays with the time that the domain
 * was out of service: after a short outage it starts close to where it was, so a quick drain and
 * restore does not shift the load back and forth.
 */
import { CONFIG_PREFIX, ConfigKind, DomainState, parseConfigKey } from '../config/object.js';
import type { ConfigFeed } from '../config/configFeed.js';
import type { EntryBoard } from '../state/entryBoard.js';

/** Time in which the share rises from 0 to 1. */
const RAMP_MS = 10_000;

/** Minimum share of a restored domain: without work its limits would never rise. */
const SHARE_MIN = 0.1;

/** Time constant of the starting share: it decays to 1/e in this time out of service. */
const SHARE_DECAY_MS = 20_000;

const DOMAIN_PREFIX = `${CONFIG_PREFIX}${ConfigKind.Domain}/`;

/** When a domain was drained and restored, as observed by this entry in wall-clock time. */
export interface DrainPeriod {
  readonly drainedAtMs: number;
  /** Share that it had when it was drained. */
  readonly shareBefore: number;
  /** Undefined while it is out of service. */
  readonly restoredAtMs: number | undefined;
}

function computeStartShare(
  { drainedAtMs, shareBefore }: DrainPeriod,
  restoredAtMs: number,
): number {
  const kept = Math.exp(-(restoredAtMs - drainedAtMs) / SHARE_DECAY_MS);
  return Math.max(SHARE_MIN, shareBefore * kept);
}

/** Share by the time since a domain was restored; 1 if it was never drained. */
function computeRampShare(drainPeriod: DrainPeriod | undefined, nowMs: number): number {
  if (drainPeriod?.restoredAtMs === undefined) return 1;
  const rampedShare = Math.max(0, nowMs - drainPeriod.restoredAtMs) / RAMP_MS;
  return Math.min(1, computeStartShare(drainPeriod, drainPeriod.restoredAtMs) + rampedShare);
}

/**
 * Share of its usual work that a domain should get by the time since it was restored.
 *
 * @returns 0 while it is out of service, 1 if it was never drained or the ramp is complete
 */
export function computeTimeShare(board: EntryBoard, domain: string, nowMs: number): number {
  if (board.config.get(ConfigKind.Domain, domain)?.state !== DomainState.Active) return 0;
  return computeRampShare(board.drainPeriods.get(domain), nowMs);
}

/** Reported limits of a domain's upstreams in a pool, as a share of their configured limits. */
export function computeLimitShare(board: EntryBoard, domain: string, pool: string): number {
  const upstreams = [...board.upstreams.values()].filter(
    (upstream) => upstream.domain === domain && upstream.pool === pool && upstream.report,
  );
  const limit = upstreams.reduce((sum, { report }) => sum + (report?.limit ?? 0), 0);
  const warmLimit = upstreams.reduce(
    (sum, { name }) => sum + (board.config.get(ConfigKind.Upstream, name)?.warmLimit ?? 0),
    0,
  );
  return warmLimit > 0 ? Math.min(1, limit / warmLimit) : 0;
}

/**
 * Share of its usual work that a domain should get for a pool, 0 to 1.
 *
 * @param nowMs wall-clock time
 */
export function computeDomainShare(
  board: EntryBoard,
  domain: string,
  pool: string,
  nowMs: number,
): number {
  return Math.min(computeTimeShare(board, domain, nowMs), computeLimitShare(board, domain, pool));
}

/** Records on the entry's board when domains are drained and restored. */
export class DomainRamp {
  readonly #board: EntryBoard;

  constructor(board: EntryBoard, feed: ConfigFeed) {
    this.#board = board;
    feed.onUpdate((rise) => {
      rise.keys
        .filter((key) => key.startsWith(DOMAIN_PREFIX))
        .forEach((key) => this.#recordStateChange(parseConfigKey(key)?.name ?? '', Date.now()));
    });
  }

  #recordStateChange(name: string, nowMs: number): void {
    const { config, drainPeriods } = this.#board;
    const state = config.get(ConfigKind.Domain, name)?.state;
    const drainPeriod = drainPeriods.get(name);
    const isOut = drainPeriod !== undefined && drainPeriod.restoredAtMs === undefined;
    if (state === DomainState.Drained && !isOut) {
      drainPeriods.set(name, {
        drainedAtMs: nowMs,
        shareBefore: computeRampShare(drainPeriod, nowMs),
        restoredAtMs: undefined,
      });
    }
    if (state === DomainState.Active && isOut) {
      drainPeriods.set(name, { ...drainPeriod, restoredAtMs: nowMs });
    }
  }
}
