/** Remembers when answers on a prompt part were last served. */

/** Maximum number of parts that are remembered; those served longest ago are forgotten first. */
const PARTS_MAX = 8_192;

/** Served parts of one pool. */
export class ServedParts {
  /** In the order of the latest use. */
  readonly #servedAtMs = new Map<string, number>();

  /** Records that an answer on the part has passed its beginning. */
  note(part: string, atMs: number): void {
    const latestMs = Math.max(atMs, this.find(part) ?? atMs);
    this.#servedAtMs.delete(part);
    this.#servedAtMs.set(part, latestMs);
    if (this.#servedAtMs.size <= PARTS_MAX) return;
    const [oldest] = this.#servedAtMs.keys();
    if (oldest !== undefined) this.#servedAtMs.delete(oldest);
  }

  /** When the part was last served; undefined if never, as far as remembered. */
  find(part: string): number | undefined {
    return this.#servedAtMs.get(part);
  }
}
