/** What the end of an upstream's response says about the response. */
export enum ResponseEnd {
  /** The response is complete. */
  Complete = 'complete',
  /** The response ended within an event. */
  WithinEvent = 'within-event',
  /** The response to a request for a stream ended with its connection and had no event. */
  Empty = 'empty',
  /** As {@link Empty}, after a response that ended at the same event. */
  Inconclusive = 'inconclusive',
  /**
   * A stream ended with its connection, between two events. It looks the same whether it is
   * complete or the upstream broke off.
   */
  Unconfirmed = 'unconfirmed',
}
