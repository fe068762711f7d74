/** How long an attempt may be silent before another upstream is asked. */
import { RouteKind, type Route } from './routeTable.js';

/** Time targets after which a plain upstream that is silent is given up. */
const PLAIN_TARGETS = 2;

/** Silence of an engine before the first event, or after one, that is more than a slow pass. */
const STREAM_TARGETS = 2.5;

const STREAM_PAUSES = 6;

/** Silence of an upstream, in milliseconds, by which it stands out. */
export function chooseSilenceMs({ kind, targetMs, pauseTargetMs }: Route): number {
  if (kind !== RouteKind.Stream) return targetMs * PLAIN_TARGETS;
  return Math.max(targetMs * STREAM_TARGETS, pauseTargetMs * STREAM_PAUSES);
}
