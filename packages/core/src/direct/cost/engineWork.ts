/** Converts the tokens of a request to the time that they take an engine. */
import type { EngineCosts } from '../passModel.js';

const TOKENS_PER_K = 1_000;

/** Work of requests at one kind of engine. */
export class EngineWork {
  readonly #costs: EngineCosts;

  constructor(costs: EngineCosts) {
    this.#costs = costs;
  }

  /** Tokens of the usual request, which stand in for those that a request does not declare. */
  get promptTokens(): number {
    return this.#costs.promptTokens;
  }

  get answerTokens(): number {
    return this.#costs.answerTokens;
  }

  /** Steps per pass, each of which gives one token; a pass gives one event. */
  get stepsPerPass(): number {
    return this.#costs.stepsPerPass;
  }

  /** Time to prefill a prompt, in milliseconds. */
  readPrefillMs(promptTokens: number): number {
    return promptTokens / this.#costs.prefillTokensPerMs;
  }

  /** Time of a pass without prefills, in which requests add the given time to each step. */
  readPassMs(addedStepMs: number): number {
    return this.#costs.stepsPerPass * (this.#costs.stepMs + addedStepMs);
  }

  /**
   * Time that a request adds to each step while it is decoded, in milliseconds, with half of its
   * answer in its context.
   */
  readStepMs(promptTokens: number, answerTokens: number): number {
    const { decodeMs, contextMsPerKTokens } = this.#costs;
    return decodeMs + (contextMsPerKTokens * (promptTokens + answerTokens / 2)) / TOKENS_PER_K;
  }
}
