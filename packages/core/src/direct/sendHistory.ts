/** Tracks how often a request was sent, and which upstreams failed to answer it. */
import type { Route } from './routeTable.js';

/** Sends allowed in addition to the route's attempts where upstreams declined the request. */
const NOT_RUN_SENDS_MAX = 2;

/**
 * Additional sends for a request that may have run and therefore cannot be refused with a
 * Retry-After delay. While its group is broken it is declined twice a second at most, and groups
 * are back within five seconds.
 */
const INTERRUPTED_SENDS_MAX = 10;

/** Sends of one request. */
export class SendHistory {
  readonly #triedUpstreams = new Set<string>();

  #sends = 0;

  /** Sends that are not proved to have not run. */
  #possibleRuns = 0;

  get sends(): number {
    return this.#sends;
  }

  /** Upstreams that are excluded from retries. */
  get triedUpstreams(): ReadonlySet<string> {
    return this.#triedUpstreams;
  }

  /** Whether an upstream may have run the request. */
  get mayHaveRun(): boolean {
    return this.#possibleRuns > 0;
  }

  noteSent(): void {
    this.#sends += 1;
    this.#possibleRuns += 1;
  }

  /** Records an upstream whose response is not, or may not be, a complete one. */
  noteTried(upstream: string): void {
    this.#triedUpstreams.add(upstream);
  }

  /** Records the proof that the last send has not run. */
  noteNotRun(): void {
    this.#possibleRuns -= 1;
  }

  /** Whether the route allows another send. */
  canSendAgain({ attempts }: Route): boolean {
    const extra = this.mayHaveRun ? INTERRUPTED_SENDS_MAX : NOT_RUN_SENDS_MAX;
    return this.#possibleRuns < attempts && this.#sends < attempts + extra;
  }
}
