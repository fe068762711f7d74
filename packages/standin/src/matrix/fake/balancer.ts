/** The platform's balancer: sends callers to the entries that it believes to be ready, in turn. */

export class Balancer {
  readonly #entries: string[] = [];

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
    return this.#entries[this.#next % this.#entries.length];
  }
}
