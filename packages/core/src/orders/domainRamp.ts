/**
 * How much work a failure domain gets after operators have brought it back.
 *
 * Two bounds hold at once. The limits that the side processes report rise only on completed work,
 * so a domain whose engines went cold gets what they bear. And the share rises with time since this
 * entry saw the domain active again, so that entries with reports that lag do not all turn to it at
 * the same moment. A domain that was out for a moment only starts where it was: the share that it
 * starts with falls with the time that it was out, which also keeps a quick drain and restore from
 * moving the load to and fro.
 */
import { CONFIG_PREFIX, ConfigKind, DomainState, parseConfigKey } from '../config/object.js';
import type { ConfigFeed } from '../config/configFeed.js';
import type { EntryBoard } from '../state/entryBoard.js';

/** Time in which the share rises from nothing to the whole. */
const RAMP_MS = 10_000;

/** Share that a returning domain gets at least: without work its limits would never rise. */
const SHARE_MIN = 0.1;

/** Time out of service after which the starting share has fallen to 1/e of the way. */
const SHARE_DECAY_MS = 20_000;

const DOMAIN_PREFIX = `${CONFIG_PREFIX}${ConfigKind.Domain}/`;

/** When a domain went out of service and came back, as this entry saw it. */
export interface DomainReturn {
  readonly drainedAtMs: number;
  /** Share that it had when it went. */
  readonly shareBefore: number;
  /** Undefined while it is out. */
  readonly restoredAtMs: number | undefined;
}

function computeStartShare(
  { drainedAtMs, shareBefore }: DomainReturn,
  restoredAtMs: number,
): number {
  const kept = Math.exp(-(restoredAtMs - drainedAtMs) / SHARE_DECAY_MS);
  return Math.max(SHARE_MIN, shareBefore * kept);
}

/** Share by the time since a domain came back; 1 where it was never out. */
function computeRampShare(domainReturn: DomainReturn | undefined, nowMs: number): number {
  if (domainReturn?.restoredAtMs === undefined) return 1;
  const rampedShare = Math.max(0, nowMs - domainReturn.restoredAtMs) / RAMP_MS;
  return Math.min(1, computeStartShare(domainReturn, domainReturn.restoredAtMs) + rampedShare);
}

/**
 * Share of its usual work that a domain should get by the time since it came back.
 *
 * @returns 0 while it is out of service, 1 where it was never out or is back for long
 */
export function computeTimeShare(board: EntryBoard, domain: string, nowMs: number): number {
  if (board.config.get(ConfigKind.Domain, domain)?.state !== DomainState.Active) return 0;
  return computeRampShare(board.domainReturns.get(domain), nowMs);
}

/** Part of the configured limits that the domain's side processes let in for a pool now. */
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
 * @param nowMs time by the runtime's clock
 */
export function readDomainShare(
  board: EntryBoard,
  domain: string,
  pool: string,
  nowMs: number,
): number {
  return Math.min(computeTimeShare(board, domain, nowMs), computeLimitShare(board, domain, pool));
}

/** Notes on the blackboard when domains go out of service and come back. */
export class DomainRamp {
  readonly #board: EntryBoard;

  constructor(board: EntryBoard, feed: ConfigFeed) {
    this.#board = board;
    feed.onRise((rise) => {
      rise.keys
        .filter((key) => key.startsWith(DOMAIN_PREFIX))
        .forEach((key) => this.#recordStateChange(parseConfigKey(key)?.name ?? '', Date.now()));
    });
  }

  #recordStateChange(name: string, nowMs: number): void {
    const { config, domainReturns } = this.#board;
    const state = config.get(ConfigKind.Domain, name)?.state;
    const domainReturn = domainReturns.get(name);
    const isOut = domainReturn !== undefined && domainReturn.restoredAtMs === undefined;
    if (state === DomainState.Drained && !isOut) {
      domainReturns.set(name, {
        drainedAtMs: nowMs,
        shareBefore: computeRampShare(domainReturn, nowMs),
        restoredAtMs: undefined,
      });
    }
    if (state === DomainState.Active && isOut) {
      domainReturns.set(name, { ...domainReturn, restoredAtMs: nowMs });
    }
  }
}
