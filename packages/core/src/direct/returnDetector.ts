/**
 * Tells callers' retries of refused requests from first attempts.
 *
 * A caller's deadline header states its remaining time, so a retry states less than a first
 * attempt. Callers' initial deadlines differ, though, by a sixth and more, so the range for first
 * attempts is learned per route while no request has been refused for some time. Mistaking a first
 * attempt for a retry costs it its place in the queue; the opposite mistake costs little.
 */

/** Shortest deadline of a first attempt relative to the longest, until it has been learned. */
const INITIAL_SHORTEST_FRACTION = 0.85;

/** Number of samples from which the range is learned, and that are kept. */
const SAMPLES_MIN = 24;
const SAMPLES_MAX = 96;

/** Samples between two updates of the range, as each update sorts them. */
const UPDATE_EVERY = 8;

/** Part at either end that may be outliers: callers whose connection broke retry too. */
const OUTLIER_FRACTION = 0.03;

/** Margin below the shortest observed deadline, as the next one may be shorter. */
const MARGIN_FRACTION = 0.005;

/**
 * Time after the Retry-After delay of a refusal in which retries may still arrive, in milliseconds.
 */
const SETTLE_MS = 1_000;

/** Deadlines of the first attempts on one route. */
interface RouteStats {
  longestMs: number;
  shortestMs: number;
  /** Deadlines of first attempts, the newest last. */
  readonly samplesMs: number[];
  /** First attempts since the last update of the range. */
  newCount: number;
}

/** Result of assessing a request. */
export interface ReturnAssessment {
  /** Longest deadline of first attempts on the route. */
  readonly firstDeadlineMs: number;
  readonly isReturned: boolean;
}

function createStats(deadlineMs: number): RouteStats {
  const shortestMs = deadlineMs * INITIAL_SHORTEST_FRACTION;
  return { longestMs: deadlineMs, shortestMs, samplesMs: [], newCount: 0 };
}

/** Updates the range from the samples, without outliers. */
function updateBounds(stats: RouteStats): void {
  const sorted = [...stats.samplesMs].sort((a, b) => a - b);
  const outliers = Math.ceil(sorted.length * OUTLIER_FRACTION);
  const shortestMs = (sorted[outliers] ?? 0) * (1 - MARGIN_FRACTION);
  Object.assign(stats, {
    shortestMs,
    longestMs: sorted[sorted.length - 1 - outliers],
    newCount: 0,
  });
}

/** Adds the deadline of a first attempt. */
function addSample(stats: RouteStats, deadlineMs: number): void {
  stats.samplesMs.push(deadlineMs);
  if (stats.samplesMs.length > SAMPLES_MAX) stats.samplesMs.shift();
  Object.assign(stats, { newCount: stats.newCount + 1 });
  if (stats.samplesMs.length >= SAMPLES_MIN && stats.newCount >= UPDATE_EVERY) updateBounds(stats);
}

/** Assesses the requests of one entry. */
export class ReturnDetector {
  readonly #routes = new Map<string, RouteStats>();

  #learningResumesAtMs = Number.NEGATIVE_INFINITY;

  /** Records that a caller was refused or its response aborted, so that it may retry. */
  noteRefusal(retryAfterMs: number, nowMs: number): void {
    this.#learningResumesAtMs = Math.max(
      this.#learningResumesAtMs,
      nowMs + retryAfterMs + SETTLE_MS,
    );
  }

  /** Assesses a request by the deadline that its caller states. */
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

  /** Until there are enough samples, the range follows the longest deadline observed. */
  #findStats(route: string, deadlineMs: number): RouteStats {
    const known = this.#routes.get(route);
    const isLearning = known !== undefined && known.samplesMs.length < SAMPLES_MIN;
    if (known && !(isLearning && deadlineMs > known.longestMs)) return known;
    const stats = { ...createStats(deadlineMs), samplesMs: known?.samplesMs ?? [] };
    this.#routes.set(route, stats);
    return stats;
  }
}
