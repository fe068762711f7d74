/**
 * Predicts how long requests of plain services hold an upstream, by their route.
 *
 * Such requests declare no size. Their times are spread by half around the mean of their route,
 * with a tail of several times, so the mean of recent ones is used, in a histogram that decays.
 */
import { DecayedQuantiles } from './decayedQuantiles.js';
import { ReportTimer } from './reportTimer.js';

/** Range of the times that are told apart, in milliseconds. */
const LEAST_MS = 0.5;
const MOST_MS = 120_000;

/** Requests of a route after which an earlier one counts for 1/e. */
const DECAY_SAMPLES = 200;

/** Routes that are remembered; a configuration has fewer. */
const ROUTES_MAX = 256;

const RATIO_MIN = 1 / 64;
const RATIO_MAX = 64;

/** Holding times of the routes of one pool. */
export class HoldingTimes {
  readonly #byRoute = new Map<string, DecayedQuantiles>();

  readonly reports = new ReportTimer();

  /** Ratios of observed to predicted times. */
  readonly errors = new DecayedQuantiles({
    least: RATIO_MIN,
    most: RATIO_MAX,
    decaySamples: DECAY_SAMPLES,
  });

  /** Expected time for which a request of a route holds an upstream; undefined before the first. */
  predictMs(route: string): number | undefined {
    return this.#byRoute.get(route)?.mean;
  }

  /** Records for how long a request held its upstream until its response was complete. */
  note(route: string, heldMs: number): void {
    const predictedMs = this.predictMs(route);
    if (predictedMs !== undefined) this.errors.add(Math.max(LEAST_MS, heldMs) / predictedMs);
    this.#findRoute(route).add(Math.max(LEAST_MS, heldMs));
  }

  #findRoute(route: string): DecayedQuantiles {
    const known = this.#byRoute.get(route);
    if (known) return known;
    const oldest = this.#byRoute.keys().next();
    if (this.#byRoute.size >= ROUTES_MAX && !oldest.done) this.#byRoute.delete(oldest.value);
    const times = new DecayedQuantiles({
      least: LEAST_MS,
      most: MOST_MS,
      decaySamples: DECAY_SAMPLES,
    });
    this.#byRoute.set(route, times);
    return times;
  }
}
