/** Size of a request to a model, as its caller declares it. */

/** Tokens of one request; the declarations are the caller's and may be wrong. */
export interface RequestSize {
  readonly promptTokens: number;
  /** Upper limit of the tokens of the answer. */
  readonly answerTokensMax: number;
  /** The caller's estimate of the tokens of the answer; undefined if it gave none. */
  readonly answerTokensHint: number | undefined;
}
