/** Interface to the body of a caller's request, which may still be arriving. */

import type { RefusalReason } from '../model/reason.js';

/** Receiver of a body. */
export interface BodySink {
  /** @returns false if the sink is full; the sink's owner resumes the transfer later */
  readonly write: (data: Buffer) => boolean;
  /** Called after the whole body has been written. */
  readonly end: () => void;
}

/** A transfer of a body to one sink. */
export interface BodyTransfer {
  /** Resumes the transfer after the sink was full. */
  readonly resume: () => void;
  /** Stops the transfer; nothing more is written to the sink. */
  readonly stop: () => void;
}

/** A body that can be sent again as long as all of it is buffered. */
export abstract class RequestBody {
  /** Total length; undefined if the caller did not declare it and the body is not complete. */
  abstract get lengthBytes(): number | undefined;

  /** Whether the whole body has arrived, so that sending it does not wait for the caller. */
  abstract get isComplete(): boolean;

  /** Whether the body can be sent from its beginning. */
  abstract get isRepeatable(): boolean;

  /** Sets the listener for enough data to start sending; it may be called at once. */
  abstract onReady(listener: () => void): void;

  /** Sets the listener for a body that is not accepted; nothing more of it is sent. */
  abstract onRejected(listener: (reason: RefusalReason) => void): void;

  /** Sends the body from its beginning. Allowed only if {@link isRepeatable}. */
  abstract sendTo(sink: BodySink): BodyTransfer;
}
