/** How long an attempt may make no progress before another upstream is asked. */
import { RouteKind, type Route } from './routeTable.js';

/** Time targets after which a plain upstream that is silent is given up. */
const PLAIN_TARGETS = 2;

/** Silence of an engine before the first event, or after one, that is more than a slow pass. */
const STREAM_TARGETS = 2.5;

const STREAM_PAUSES = 6;

/** Usual pauses of a pool's streams beyond which a silence stands out. */
const USUAL_PAUSES = 4;

/**
 * Silence of an upstream, in milliseconds, by which it stands out.
 *
 * @param usualPauseMs pauses of the pool's streams of late; undefined where there were none
 */
export function chooseSilenceMs(route: Route, usualPauseMs: number | undefined): number {
  const { kind, targetMs, pauseTargetMs, patienceMs } = route;
  if (kind !== RouteKind.Stream) return targetMs * PLAIN_TARGETS;
  const usualMs = usualPauseMs === undefined ? patienceMs : usualPauseMs * USUAL_PAUSES;
  return Math.max(targetMs * STREAM_TARGETS, pauseTargetMs * STREAM_PAUSES, usualMs);
}
