/** One request in an engine's batch. */

/** What a sequence tells whoever submitted it. */
export interface SequenceEvents {
  /** @returns false where the reader is slow: the sequence then waits for `resume` */
  readonly onToken: (index: number) => boolean;
  readonly onEnd: () => void;
  readonly onFailure: (detail: string) => void;
}

export interface SequenceSpec {
  /** Sequences with a lower number go first. */
  readonly priority: number;
  /** Tokens of the prompt that the cache does not hold. */
  readonly prefillTokens: number;
  /** Tokens that the caller has already; generation goes on after them. */
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

  /** Tokens of the answer so far, with those that the caller had already. */
  get tokenCount(): number {
    return this.#nextToken;
  }

  get isFinished(): boolean {
    return this.#nextToken >= this.spec.maxTokens;
  }

  get isBlocked(): boolean {
    return this.#isBlocked;
  }

  /** Tokens of the prompt that the next step has to compute. */
  get prefillTokens(): number {
    return this.#isPrefilled ? 0 : this.spec.prefillTokens;
  }

  /** Generates one token. */
  advance(): void {
    const token = this.#nextToken;
    this.#isPrefilled = true;
    this.#nextToken += 1;
    this.#isBlocked = !this.events.onToken(token);
  }

  /** The reader is ready for more. */
  unblock(): void {
    this.#isBlocked = false;
  }
}
