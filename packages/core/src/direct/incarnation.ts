/** Keys of the incarnations of upstreams. */
import type { UpstreamEntry } from './directUpstream.js';

/** Returns the key of one incarnation of an upstream, as a restarted one may keep its id. */
export function formatIncarnation({ id, startedAtUnixMs }: UpstreamEntry): string {
  return `${id}@${startedAtUnixMs}`;
}
