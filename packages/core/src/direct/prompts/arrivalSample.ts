/** The latest requests of a pool, to estimate which share of them has a prompt part. */

/** Number of requests in the sample. */
const SAMPLE_SIZE = 256;

/** Sample of one pool's requests. */
export class ArrivalSample {
  readonly #requests: (readonly string[])[] = [];

  #next = 0;

  /** Adds a request by its prompt parts; it replaces the oldest one once the sample is full. */
  add(parts: readonly string[]): void {
    this.#requests[this.#next] = parts;
    this.#next = (this.#next + 1) % SAMPLE_SIZE;
  }

  /** Share of the requests that have a part, from 0 to 1; at least that of one request. */
  readShare(part: string): number {
    const count = this.#requests.filter((parts) => parts.includes(part)).length;
    return Math.max(1, count) / Math.max(1, this.#requests.length);
  }
}
