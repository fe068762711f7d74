/** How often a request was sent, and which upstreams have failed it. */
import type { Route } from './routeTable.js';

/** Sends beyond the route's attempts where upstreams proved not to have run the request. */
const NOT_RUN_SENDS_MAX = 2;

/**
 * The same for a request that may have run, and so cannot be told to come back. While its group is
 * broken it is declined twice a second at most, and groups are back within five seconds.
 */
const INTERRUPTED_SENDS_MAX = 10;

/** Sends of one request. */
export class SendTally {
  readonly #failed = new Set<string>();

  #sends = 0;

  /** Sends of which it is not proved that they did not run. */
  #runs = 0;

  get sends(): number {
    return this.#sends;
  }

  /** Upstreams that are not asked again. */
  get failed(): ReadonlySet<string> {
    return this.#failed;
  }

  /** Whether an upstream may have run the request. */
  get mayHaveRun(): boolean {
    return this.#runs > 0;
  }

  noteSent(): void {
    this.#sends += 1;
    this.#runs += 1;
  }

  noteFailed(upstream: string): void {
    this.#failed.add(upstream);
  }

  /** Takes in the proof that the last send has not run. */
  noteNotRun(): void {
    this.#runs -= 1;
  }

  /** Whether the route allows one more send. */
  allowsAnother({ attempts }: Route): boolean {
    const extra = this.mayHaveRun ? INTERRUPTED_SENDS_MAX : NOT_RUN_SENDS_MAX;
    return this.#runs < attempts && this.#sends < attempts + extra;
  }
}
