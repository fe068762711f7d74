/** Predicted work of one request. */

/** What the prediction of an answer's length is based on. */
export enum CostBasis {
  /** The caller's estimate. */
  Hint = 'hint',
  /** The caller's upper limit. */
  Limit = 'limit',
  /** Earlier requests of the route, or the usual request of the configuration. */
  Route = 'route',
}

/** Prediction for one request; times are an engine's time in milliseconds. */
export interface RequestCost {
  readonly route: string;
  readonly workspace: string;
  readonly basis: CostBasis;
  /** Tokens of the answer by the declaration alone. */
  readonly declaredTokens: number;
  /** Expected tokens of the answer, and their upper limit. */
  readonly answerTokens: number;
  readonly answerTokensMax: number;
  /** Whether the caller has declared the size of its request. */
  readonly isDeclared: boolean;
  readonly prefillMs: number;
  /** Time that the request adds to each step while it is decoded. */
  readonly stepMs: number;
  readonly tokensPerEvent: number;
}

/**
 * Part of the tokens so far that is expected to follow once an answer is longer than expected: with
 * a spread of 0.5, the answers that exceed their median by far have about a quarter more to go.
 */
const OVERRUN_FRACTION = 0.25;

/** Expected number of tokens that follow after the given number. */
export function readTokensLeft(cost: RequestCost, tokensOut: number): number {
  const expected = Math.max(cost.answerTokens - tokensOut, tokensOut * OVERRUN_FRACTION);
  return Math.max(0, Math.min(expected, cost.answerTokensMax - tokensOut));
}
