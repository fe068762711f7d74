/** How long an attempt may make no progress before another upstream is asked. */
import { RouteKind, type Route } from './routeTable.js';

/** Time targets after which a plain upstream that is silent is given up. */
const PLAIN_TARGET_FACTOR = 2;

/** Silence of an engine before the first event, or after one, that is more than a slow pass. */
const STREAM_TARGET_FACTOR = 2.5;

const STREAM_PAUSE_TARGET_FACTOR = 6;

/** Usual pauses of a pool's streams beyond which a silence stands out. */
const MEAN_PAUSE_FACTOR = 4;

/**
 * Silence of an upstream, in milliseconds, by which it stands out.
 *
 * @param meanPauseMs pauses of the pool's streams of late; undefined where there were none
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
