/** A request in an engine's batch. */

/** Callbacks of a sequence to its submitter. */
export interface SequenceEvents {
  /** @returns false if the reader is slow; the sequence then pauses until `Batch.resume` */
  readonly onToken: (index: number) => boolean;
  readonly onEnd: () => void;
  readonly onFailure: (detail: string) => void;
}

export interface SequenceSpec {
  /** Sequences with a lower number run first. */
  readonly priority: number;
  /** Number of tokens to prefill before the first one is generated. */
  readonly prefillTokens: number;
  /** Index of the first token to generate; the caller already has the ones before it. */
  readonly firstToken: number;
  readonly maxTokens: number;
}

/** A sequence of tokens being generated. */
export class Sequence {
  readonly spec: SequenceSpec;

  readonly events: SequenceEvents;

  #nextToken: number;

  #isPrefilled = false;

  #isBlocked = false;

  constructor(spec: SequenceSpec, events: SequenceEvents) {
    this.spec = spec;
    this.events = events;
    this.#nextToken = spec.firstToken;
  }

  /** Number of tokens of the answer so far, including those that the caller already had. */
  get tokenCount(): number {
    return this.#nextToken;
  }

  get isFinished(): boolean {
    return this.#nextToken >= this.spec.maxTokens;
  }

  get isBlocked(): boolean {
    return this.#isBlocked;
  }

  /** Number of tokens that the next step has to prefill. */
  get prefillTokens(): number {
    return this.#isPrefilled ? 0 : this.spec.prefillTokens;
  }

  /** Generates one token; pauses the sequence if the reader is slow. */
  advance(): void {
    const token = this.#nextToken;
    this.#isPrefilled = true;
    this.#nextToken += 1;
    this.#isBlocked = !this.events.onToken(token);
  }

  /** Clears the pause once the reader is ready for more tokens. */
  unblock(): void {
    this.#isBlocked = false;
  }
}
