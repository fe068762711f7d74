/** Tracks how often a request was sent, and which upstreams failed to answer it. */
import type { AttemptEnding } from './attemptEnding.js';
import type { Route } from './routeTable.js';

/** Sends allowed in addition to the route's attempts where upstreams declined the request. */
const NOT_RUN_SENDS_MAX = 2;

/**
 * Additional sends for a request that may have run and therefore cannot be refused with a
 * Retry-After delay. While its group is broken it is declined twice a second at most, and groups
 * are back within five seconds.
 */
const INTERRUPTED_SENDS_MAX = 10;

/** Sends to upstreams that have ended the stream already, to confirm its end. */
const CONFIRMING_SENDS_MAX = 6;

/** One send, and how it ended; undefined while it is in progress. */
interface Send {
  readonly upstream: string;
  /** Whether it counts as a possible run of the request. */
  readonly isRun: boolean;
  ending?: AttemptEnding;
  events?: number;
}

/** Sends of one request. */
export class SendHistory {
  readonly #triedUpstreams = new Set<string>();

  readonly #sends: Send[] = [];

  #confirmingSends = 0;

  /** Sends that are not proved to have not run. */
  #possibleRuns = 0;

  get sends(): number {
    return this.#sends.length;
  }

  /** Upstreams that are excluded from retries. */
  get triedUpstreams(): ReadonlySet<string> {
    return this.#triedUpstreams;
  }

  /** Whether an upstream may have run the request. */
  get mayHaveRun(): boolean {
    return this.#possibleRuns > 0;
  }

  noteSent(upstream: string): void {
    this.#sends.push({ upstream, isRun: true });
    this.#possibleRuns += 1;
  }

  /** Records a send to an upstream that has run the request, to confirm the end of its stream. */
  noteConfirmingSend(upstream: string): void {
    this.#sends.push({ upstream, isRun: false });
    this.#confirmingSends += 1;
  }

  /** Records an upstream whose response is not, or may not be, a complete one. */
  noteTried(upstream: string): void {
    this.#triedUpstreams.add(upstream);
  }

  /**
   * Records how the last send ended.
   *
   * @param events complete events of its response
   */
  noteEnding(ending: AttemptEnding, events: number): void {
    const last = this.#sends.at(-1);
    if (last) Object.assign(last, { ending, events });
  }

  /** Formats all sends in order: upstream, ending and number of events. */
  describe(): string {
    return this.#sends
      .map(({ upstream, ending, events }) => [upstream, ending ?? 'open', events ?? 0].join(' '))
      .join(', ');
  }

  /** Records the proof that the last send has not run. */
  noteNotRun(): void {
    if (this.#sends.at(-1)?.isRun) this.#possibleRuns -= 1;
  }

  /** Whether the route allows another send. */
  canSendAgain({ attempts }: Route): boolean {
    const extra = this.mayHaveRun ? INTERRUPTED_SENDS_MAX : NOT_RUN_SENDS_MAX;
    return this.#possibleRuns < attempts && this.#sends.length < attempts + extra;
  }

  /**
   * Whether upstreams that have ended the stream may be asked to confirm its end. They are no
   * further upstreams, which the route's attempts limit.
   */
  canConfirmAgain({ attempts }: Route): boolean {
    return (
      this.#confirmingSends < CONFIRMING_SENDS_MAX &&
      this.#sends.length < attempts + INTERRUPTED_SENDS_MAX
    );
  }
}
