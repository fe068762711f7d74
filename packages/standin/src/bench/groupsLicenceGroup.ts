/**
 * The step licence, as it was weighed against the held barrier: a trial without recovery.
 *
 * Ranks promise not to step past a limit on the old map. Once all have promised, the new map starts
 * beyond the greatest promise, and a rank that has heard so may go on.
 */

interface LicenceRank {
  limitStep: number;
  switchStep: number;
}

export interface LicenceOptions {
  readonly ranks: number;
  readonly stepMs: number;
  readonly oneWayMs: number;
  /** Steps that a rank may still take after its promise. */
  readonly leadSteps: number;
}

/** Ranks in lock-step under licences. */
export class LicenceGroup {
  readonly #options: LicenceOptions;

  readonly #ranks: LicenceRank[];

  readonly #startedAtMs: number[] = [];

  #isStepping = false;

  #isStopped = false;

  messages = 0;

  constructor(options: LicenceOptions) {
    this.#options = options;
    this.#ranks = Array.from({ length: options.ranks }, () => ({
      limitStep: Number.POSITIVE_INFINITY,
      switchStep: Number.POSITIVE_INFINITY,
    }));
    this.#wake();
  }

  /** Longest time between the end of one step and the start of the next. */
  get longestStallMs(): number {
    const gaps = this.#startedAtMs.map((startedAtMs, index) => {
      const before = this.#startedAtMs[index - 1];
      return before === undefined ? 0 : startedAtMs - before - this.#options.stepMs;
    });
    return Math.max(0, ...gaps);
  }

  /** Switches all ranks to the next map. */
  async switchMap(): Promise<void> {
    const promises = await Promise.all(
      this.#ranks.map((rank) => this.#ask(() => this.#promise(rank))),
    );
    const switchStep = Math.max(...promises);
    await Promise.all(this.#ranks.map((rank) => this.#ask(() => this.#allow(rank, switchStep))));
  }

  stop(): void {
    this.#isStopped = true;
  }

  #promise(rank: LicenceRank): number {
    const limitStep = this.#startedAtMs.length + this.#options.leadSteps;
    Object.assign(rank, { limitStep });
    return limitStep;
  }

  #allow(rank: LicenceRank, switchStep: number): number {
    Object.assign(rank, { limitStep: Number.POSITIVE_INFINITY, switchStep });
    this.#wake();
    return switchStep;
  }

  /** One order and its answer. */
  #ask(run: () => number): Promise<number> {
    const { oneWayMs } = this.#options;
    this.messages += 2;
    return new Promise((resolve) => {
      setTimeout(() => {
        const answer = run();
        setTimeout(() => resolve(answer), oneWayMs);
      }, oneWayMs);
    });
  }

  #wake(): void {
    const step = this.#startedAtMs.length;
    const mayStep = this.#ranks.every((rank) => step < rank.limitStep);
    if (this.#isStepping || this.#isStopped || !mayStep) return;
    this.#isStepping = true;
    this.#startedAtMs.push(performance.now());
    setTimeout(() => {
      this.#isStepping = false;
      this.#wake();
    }, this.#options.stepMs);
  }
}
