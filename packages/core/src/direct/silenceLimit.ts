/** Calculates how long an attempt may make no progress before another upstream is tried. */
import { RouteKind, type Route } from './routeTable.js';

/** Multiple of the latency target after which a silent plain upstream is given up. */
const PLAIN_TARGET_FACTOR = 2;

/**
 * Multiples of the latency target (before the first event) and of the pause target (after one) that
 * are longer than a slow pass of an engine.
 */
const STREAM_TARGET_FACTOR = 2.5;

const STREAM_PAUSE_TARGET_FACTOR = 6;

/** Multiple of the pool's mean pause above which a silence is an outlier. */
const MEAN_PAUSE_FACTOR = 4;

/**
 * Returns the time without progress, in milliseconds, above which an upstream is an outlier.
 *
 * @param meanPauseMs mean pause of the pool's recent streams; undefined where there were none
 */
export function chooseSilenceLimitMs(route: Route, meanPauseMs: number | undefined): number {
  const { kind, targetMs, pauseTargetMs, patienceMs } = route;
  if (kind !== RouteKind.Stream) return targetMs * PLAIN_TARGET_FACTOR;
  const meanBasedMs = meanPauseMs === undefined ? patienceMs : meanPauseMs * MEAN_PAUSE_FACTOR;
  return Math.max(
    targetMs * STREAM_TARGET_FACTOR,
    pauseTargetMs * STREAM_PAUSE_TARGET_FACTOR,
    meanBasedMs,
  );
}
