/**
 * Bounds the work of a choice in a large pool.
 *
 * Up to {@link SCAN_MAX} upstreams all are looked at. Beyond, a random sample of a fixed size is:
 * the best of a few random upstreams is nearly as good as the best of all (power of d choices), and
 * entries with the same news rarely choose the same one.
 */

/** Pool size up to which all upstreams are candidates. */
export const SCAN_MAX = 128;

/** Size of the sample of a larger pool. */
const SAMPLE_SIZE = 32;

/** Returns all upstreams of a small pool, or a random sample of a large one. */
export function sampleCandidates<T>(upstreams: readonly T[], draw: () => number): readonly T[] {
  if (upstreams.length <= SCAN_MAX) return upstreams;
  const chosen = new Set<T>();
  for (let draws = 0; draws < SAMPLE_SIZE; draws += 1) {
    const upstream = upstreams[Math.floor(draw() * upstreams.length)];
    if (upstream !== undefined) chosen.add(upstream);
  }
  return [...chosen];
}
