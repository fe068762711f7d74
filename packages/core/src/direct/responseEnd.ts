/** What the end of an upstream's response says about the response. */
export enum ResponseEnd {
  /** The response is complete. */
  Complete = 'complete',
  /** Part of the response is missing. */
  Truncated = 'truncated',
  /**
   * A stream ended with its connection, between two events. It looks the same whether it is
   * complete or the upstream broke off.
   */
  Unconfirmed = 'unconfirmed',
}
