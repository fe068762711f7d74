/**
 * Tells requests that have come back from those that come for the first time.
 *
 * A caller names the time that it has left, so one that has been refused before names less. Callers
 * differ in their patience, though, by a sixth and more: the times of first requests are learned
 * for each route while nobody has been refused for a while. To take a first request for a returned
 * one costs it its turn; the other mistake costs little.
 */

/** Part of the longest time that first requests have at least, until it is learned. */
const INITIAL_SHORTEST_FRACTION = 0.85;

/** Requests from which it is learned, and that are remembered. */
const SAMPLES_MIN = 24;
const SAMPLES_MAX = 96;

/** Requests between two looks at what is remembered: each sorts it. */
const UPDATE_EVERY = 8;

/** Part at either end that may be stray: callers whose connection broke come back too. */
const OUTLIER_FRACTION = 0.03;

/** Part of the shortest time that was seen by which the next one may be shorter. */
const MARGIN_FRACTION = 0.005;

/** Time after that of a refusal's return in which requests may still be returned ones. */
const SETTLE_MS = 1_000;

/** What first callers of one route name. */
interface RouteStats {
  longestMs: number;
  shortestMs: number;
  /** Times of first requests, the newest last. */
  readonly samplesMs: number[];
  /** First requests since the last look. */
  newCount: number;
}

/** What is known of a request's caller. */
export interface ReturnAssessment {
  /** Longest time for which callers of the route wait when they come for the first time. */
  readonly firstDeadlineMs: number;
  readonly isReturned: boolean;
}

function createStats(deadlineMs: number): RouteStats {
  const shortestMs = deadlineMs * INITIAL_SHORTEST_FRACTION;
  return { longestMs: deadlineMs, shortestMs, samplesMs: [], newCount: 0 };
}

/** Takes the ends of what is remembered without the stray ones. */
function updateBounds(stats: RouteStats): void {
  const sorted = [...stats.samplesMs].sort((a, b) => a - b);
  const stray = Math.ceil(sorted.length * OUTLIER_FRACTION);
  const shortestMs = (sorted[stray] ?? 0) * (1 - MARGIN_FRACTION);
  Object.assign(stats, { shortestMs, longestMs: sorted[sorted.length - 1 - stray], newCount: 0 });
}

/** Takes in the time of a first request. */
function addSample(stats: RouteStats, deadlineMs: number): void {
  stats.samplesMs.push(deadlineMs);
  if (stats.samplesMs.length > SAMPLES_MAX) stats.samplesMs.shift();
  Object.assign(stats, { newCount: stats.newCount + 1 });
  if (stats.samplesMs.length >= SAMPLES_MIN && stats.newCount >= UPDATE_EVERY) updateBounds(stats);
}

/** Judges the requests of one entry. */
export class ReturnDetector {
  readonly #routes = new Map<string, RouteStats>();

  #learningResumesAtMs = Number.NEGATIVE_INFINITY;

  /** Hears that a caller was refused, or cut off, and may come back. */
  noteRefusal(retryAfterMs: number, nowMs: number): void {
    this.#learningResumesAtMs = Math.max(
      this.#learningResumesAtMs,
      nowMs + retryAfterMs + SETTLE_MS,
    );
  }

  /** Judges a request by the time that its caller names. */
  assess(route: string, deadlineMs: number, nowMs: number): ReturnAssessment {
    const stats = this.#findStats(route, deadlineMs);
    const isReturned = deadlineMs < stats.shortestMs;
    const firstDeadlineMs = Math.max(stats.longestMs, deadlineMs);
    if (nowMs > this.#learningResumesAtMs) addSample(stats, deadlineMs);
    return { firstDeadlineMs, isReturned };
  }

  /** Forgets all other routes. */
  retainRoutes(names: ReadonlySet<string>): void {
    [...this.#routes.keys()]
      .filter((name) => !names.has(name))
      .forEach((name) => this.#routes.delete(name));
  }

  /** Until enough is remembered, the longest time that was named stands for all. */
  #findStats(route: string, deadlineMs: number): RouteStats {
    const known = this.#routes.get(route);
    const isShort = known !== undefined && known.samplesMs.length < SAMPLES_MIN;
    if (known && !(isShort && deadlineMs > known.longestMs)) return known;
    const stats = { ...createStats(deadlineMs), firstMs: known?.samplesMs ?? [] };
    this.#routes.set(route, stats);
    return stats;
  }
}
