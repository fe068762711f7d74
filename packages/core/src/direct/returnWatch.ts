/**
 * Tells requests that have come back from those that come for the first time.
 *
 * A caller names the time that it has left, so one that has been refused before names less. Callers
 * differ in their patience, though, by a sixth and more: the times of first requests are learned
 * for each route while nobody has been refused for a while. To take a first request for a returned
 * one costs it its turn; the other mistake costs little.
 */

/** Part of the longest time that first requests have at least, until it is learned. */
const SHORTEST_PART = 0.85;

/** Requests from which it is learned, and that are remembered. */
const SAMPLES_MIN = 24;
const SAMPLES_MAX = 96;

/** Requests between two looks at what is remembered: each sorts it. */
const LOOK_EVERY = 8;

/** Part at either end that may be stray: callers whose connection broke come back too. */
const STRAY_PART = 0.03;

/** Part of the shortest time that was seen by which the next one may be shorter. */
const MARGIN_PART = 0.005;

/** Time after that of a refusal's return in which requests may still be returned ones. */
const SETTLE_MS = 1_000;

/** What first callers of one route name. */
interface RouteTimes {
  longestMs: number;
  shortestMs: number;
  /** Times of first requests, the newest last. */
  readonly firstMs: number[];
  /** First requests since the last look. */
  newCount: number;
}

/** What is known of a request's caller. */
export interface ReturnJudgement {
  /** Longest time for which callers of the route wait when they come for the first time. */
  readonly firstDeadlineMs: number;
  readonly isReturned: boolean;
}

function createTimes(deadlineMs: number): RouteTimes {
  const shortestMs = deadlineMs * SHORTEST_PART;
  return { longestMs: deadlineMs, shortestMs, firstMs: [], newCount: 0 };
}

/** Takes the ends of what is remembered without the stray ones. */
function look(times: RouteTimes): void {
  const sorted = [...times.firstMs].sort((a, b) => a - b);
  const stray = Math.ceil(sorted.length * STRAY_PART);
  const shortestMs = (sorted[stray] ?? 0) * (1 - MARGIN_PART);
  Object.assign(times, { shortestMs, longestMs: sorted[sorted.length - 1 - stray], newCount: 0 });
}

/** Takes in the time of a first request. */
function learn(times: RouteTimes, deadlineMs: number): void {
  times.firstMs.push(deadlineMs);
  if (times.firstMs.length > SAMPLES_MAX) times.firstMs.shift();
  Object.assign(times, { newCount: times.newCount + 1 });
  if (times.firstMs.length >= SAMPLES_MIN && times.newCount >= LOOK_EVERY) look(times);
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
    const isReturned = deadlineMs < times.shortestMs;
    const firstDeadlineMs = Math.max(times.longestMs, deadlineMs);
    if (nowMs > this.#settledAtMs) learn(times, deadlineMs);
    return { firstDeadlineMs, isReturned };
  }

  /** Forgets all other routes. */
  keepRoutes(names: ReadonlySet<string>): void {
    [...this.#routes.keys()]
      .filter((name) => !names.has(name))
      .forEach((name) => this.#routes.delete(name));
  }

  /** Until enough is remembered, the longest time that was named stands for all. */
  #findTimes(route: string, deadlineMs: number): RouteTimes {
    const known = this.#routes.get(route);
    const isShort = known !== undefined && known.firstMs.length < SAMPLES_MIN;
    if (known && !(isShort && deadlineMs > known.longestMs)) return known;
    const times = { ...createTimes(deadlineMs), firstMs: known?.firstMs ?? [] };
    this.#routes.set(route, times);
    return times;
  }
}
