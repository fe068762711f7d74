/**
 * Predicts how long a pass of a group takes from the configured costs of its engines.
 *
 * All ranks of a group run each pass together, and each decoding request emits one event per pass.
 * The model predicts the time of a pass with evenly distributed work. By how much uneven expert
 * load or a slow rank prolongs it is learned from the pauses that callers see.
 */

/** Costs of the work of one engine. */
export interface EngineCosts {
  /** Time of a step without work, in milliseconds. */
  readonly stepMs: number;
  /** Time that each decoding request adds to a step, in milliseconds. */
  readonly decodeMs: number;
  /**
   * Time that each thousand tokens of a decoding request's context add to a step, in milliseconds.
   */
  readonly contextMsPerKTokens: number;
  /** Prompt tokens that are prefilled per millisecond. */
  readonly prefillTokensPerMs: number;
  /** Steps per pass. */
  readonly stepsPerPass: number;
  /** Mean number of tokens of a prompt, and of a response. */
  readonly promptTokens: number;
  readonly answerTokens: number;
}

const TOKENS_PER_K = 1_000;

/** Pass times of one kind of engine. */
export class PassModel {
  readonly #costs: EngineCosts;

  constructor(costs: EngineCosts) {
    this.#costs = costs;
  }

  /**
   * Predicts the time of a pass with evenly distributed work, in milliseconds.
   *
   * @param decodingRequests requests that each engine decodes
   * @param prefillTokens prompt tokens that each engine prefills in the pass
   */
  predictMs(decodingRequests: number, prefillTokens: number): number {
    const { stepMs, stepsPerPass, prefillTokensPerMs } = this.#costs;
    const totalDecodeMs = stepsPerPass * (stepMs + decodingRequests * this.#decodeMsPerRequest);
    return totalDecodeMs + prefillTokens / prefillTokensPerMs;
  }

  /** Number of decoding requests per engine at which an even pass takes the given time. */
  solveDecodingRequests(passMs: number, prefillTokens: number): number {
    const { stepsPerPass } = this.#costs;
    return (passMs - this.predictMs(0, prefillTokens)) / (stepsPerPass * this.#decodeMsPerRequest);
  }

  /** Prompt tokens that are prefilled in the given time. */
  countPrefillTokens(spanMs: number): number {
    return spanMs * this.#costs.prefillTokensPerMs;
  }

  get promptTokens(): number {
    return this.#costs.promptTokens;
  }

  /** Time that a request adds to a step when half of its response has been decoded. */
  get #decodeMsPerRequest(): number {
    const { decodeMs, contextMsPerKTokens, promptTokens, answerTokens } = this.#costs;
    return decodeMs + (contextMsPerKTokens * (promptTokens + answerTokens / 2)) / TOKENS_PER_K;
  }
}
