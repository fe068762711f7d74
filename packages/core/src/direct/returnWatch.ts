/**
 * Tells requests that have come back from those that come for the first time.
 *
 * A caller names the time that it has left, so one that has been refused before names less. Callers
 * differ in their patience, though, by a sixth and more: the shortest time of first requests is
 * learned for each route while nobody has been refused for a while. To take a first request for a
 * returned one costs it its turn; the other mistake costs little.
 */

/** Part of a route's longest time that first requests have at least, until it is learned. */
const SHORTEST_PART = 0.85;

/** Requests from which it is learned, and that are remembered. */
const SAMPLES_MIN = 24;
const SAMPLES_MAX = 96;

/** Part of the remembered ones that may be stray: callers whose connection broke come back too. */
const STRAY_PART = 0.03;

/** Distance below the shortest first time that was seen: the next one may be a little shorter. */
const MARGIN_PART = 0.005;

/** Time after that of a refusal's return in which requests may still be returned ones. */
const SETTLE_MS = 1_000;

interface RouteTimes {
  longestMs: number;
  /** Times of first requests, as parts of the longest, the newest last. */
  firstParts: number[];
  shortestPart: number;
}

/** What is known of a request's caller. */
export interface ReturnJudgement {
  /** Longest time for which callers of the route wait when they come for the first time. */
  readonly firstDeadlineMs: number;
  readonly isReturned: boolean;
}

function findShortest(parts: readonly number[]): number {
  if (parts.length < SAMPLES_MIN) return SHORTEST_PART;
  const sorted = [...parts].sort((a, b) => a - b);
  return (sorted[Math.ceil(sorted.length * STRAY_PART)] ?? SHORTEST_PART) - MARGIN_PART;
}

/** Remembers the time of a first request, as a part of the longest. */
function learn(times: RouteTimes, part: number): void {
  times.firstParts.push(part);
  if (times.firstParts.length > SAMPLES_MAX) times.firstParts.shift();
  Object.assign(times, { shortestPart: findShortest(times.firstParts) });
}

/** Judges the requests of one entry. */
export class ReturnWatch {
  readonly #routes = new Map<string, RouteTimes>();

  #settledAtMs = Number.NEGATIVE_INFINITY;

  /** Hears that a caller was refused, or cut off, and may come back. */
  noteRefusal(retryAfterMs: number, nowMs: number): void {
    this.#settledAtMs = Math.max(this.#settledAtMs, nowMs + retryAfterMs + SETTLE_MS);
  }

  /** Judges a request by the time that its caller names. */
  judge(route: string, deadlineMs: number, nowMs: number): ReturnJudgement {
    const times = this.#findTimes(route, deadlineMs);
    times.longestMs = Math.max(times.longestMs, deadlineMs);
    const part = deadlineMs / times.longestMs;
    const isReturned = part < times.shortestPart;
    if (nowMs > this.#settledAtMs) learn(times, part);
    return { firstDeadlineMs: times.longestMs, isReturned };
  }

  #findTimes(route: string, deadlineMs: number): RouteTimes {
    const known = this.#routes.get(route);
    if (known) return known;
    const times = { longestMs: deadlineMs, firstParts: [], shortestPart: SHORTEST_PART };
    this.#routes.set(route, times);
    return times;
  }
}
