/** How an attempt at a request ended, as log lines name it. */
export enum AttemptEnding {
  /** The response ended with its connection, between two events. */
  Unconfirmed = 'unconfirmed',
  /** The response ended with its connection and had no event. */
  Empty = 'empty',
  WithinEvent = 'within-event',
  /** The connection failed before the response had ended. */
  ConnectionLost = 'connection-lost',
  /** The connection was not established. */
  NotSent = 'not-sent',
  /** The upstream stated that it did not run the request. */
  Declined = 'declined',
  /** The response belonged to another request, or was not the upstream's own. */
  Foreign = 'foreign',
  ErrorStatus = 'error-status',
  /** The stream was resumed elsewhere than after the last event. */
  Misplaced = 'misplaced',
  Silent = 'silent',
  Endless = 'endless',
  InternalError = 'internal-error',
}
