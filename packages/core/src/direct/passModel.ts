/**
 * How long a group's pass takes, by what its engines say of themselves.
 *
 * All ranks of a group make each pass together, and each writing request has one event of it. The
 * model gives the time of a pass whose work is spread evenly; how much longer it takes, as experts
 * are in uneven demand or a rank is slow, is learned from the pauses that callers see.
 */

/** What the work of one engine costs. */
export interface EngineCosts {
  /** Time of a step without work, in milliseconds. */
  readonly stepMs: number;
  /** Time that each writing request adds to a step, in milliseconds. */
  readonly writerMs: number;
  /** The same for each thousand tokens of its context. */
  readonly contextMsPerK: number;
  /** Prompt tokens that are read in a millisecond. */
  readonly readTokensPerMs: number;
  /** Steps of a pass. */
  readonly stepsPerPass: number;
  /** Mean tokens of a prompt, and of an answer. */
  readonly promptTokens: number;
  readonly answerTokens: number;
}

const TOKENS_PER_K = 1_000;

/** Time of passes of one kind of engine. */
export class PassModel {
  readonly #costs: EngineCosts;

  constructor(costs: EngineCosts) {
    this.#costs = costs;
  }

  /**
   * Time of a pass whose work is spread evenly, in milliseconds.
   *
   * @param decodingRequests requests that write at each engine
   * @param prefillTokens prompt tokens that each engine reads in the pass
   */
  predictMs(decodingRequests: number, prefillTokens: number): number {
    const { stepMs, stepsPerPass, readTokensPerMs } = this.#costs;
    const decodeMs = stepsPerPass * (stepMs + decodingRequests * this.#decodeMsPerRequest);
    return decodeMs + prefillTokens / readTokensPerMs;
  }

  /** Requests that may write at each engine so that an even pass takes a given time. */
  solveDecodingRequests(passMs: number, prefillTokens: number): number {
    const { stepsPerPass } = this.#costs;
    return (passMs - this.predictMs(0, prefillTokens)) / (stepsPerPass * this.#decodeMsPerRequest);
  }

  /** Prompt tokens that are read in a time. */
  countPrefillTokens(spanMs: number): number {
    return spanMs * this.#costs.readTokensPerMs;
  }

  get promptTokens(): number {
    return this.#costs.promptTokens;
  }

  /** What a writing request adds to a step, with half of its answer written. */
  get #decodeMsPerRequest(): number {
    const { writerMs, contextMsPerK, promptTokens, answerTokens } = this.#costs;
    return writerMs + (contextMsPerK * (promptTokens + answerTokens / 2)) / TOKENS_PER_K;
  }
}
