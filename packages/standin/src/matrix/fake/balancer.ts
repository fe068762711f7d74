/** The platform's balancer, in memory. */

/** Sends callers to the entries that call themselves ready, in turn. */
export class Balancer {
  readonly #entries: string[] = [];

  readonly #isReady: (entry: string) => boolean;

  /** @param isReady an entry's own answer to the health check */
  constructor(isReady: (entry: string) => boolean) {
    this.#isReady = isReady;
  }

  #next = 0;

  add(entry: string): void {
    if (!this.#entries.includes(entry)) this.#entries.push(entry);
  }

  remove(entry: string): void {
    const index = this.#entries.indexOf(entry);
    if (index >= 0) this.#entries.splice(index, 1);
  }

  /** @returns undefined where no entry is ready */
  choose(): string | undefined {
    this.#next += 1;
    const ready = this.#entries.filter(this.#isReady);
    return ready[this.#next % ready.length];
  }
}
