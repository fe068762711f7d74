/** Body of a caller's request, which may still be arriving while the request is worked on. */

/** Where a body goes. */
export interface BodySink {
  /** @returns false where the sink is full; the transfer is resumed when it takes more */
  readonly write: (data: Buffer) => boolean;
  /** All has been written. */
  readonly end: () => void;
}

/** A body on its way to one sink. */
export interface BodyTransfer {
  /** Goes on after the sink was full. */
  readonly resume: () => void;
  /** Writes nothing more to this sink. */
  readonly stop: () => void;
}

/** A body that can be sent again as long as all of it is kept. */
export abstract class RequestBody {
  /** Bytes in all; undefined where the caller did not tell and not all has arrived. */
  abstract get lengthBytes(): number | undefined;

  /** Whether all has arrived, so that it is sent without waiting for the caller. */
  abstract get isComplete(): boolean;

  /** Whether it can be sent from its beginning. */
  abstract get isRepeatable(): boolean;

  /** Names the listener for enough of it being here to begin with; may be called at once. */
  abstract onReady(listener: () => void): void;

  /** Names the listener for its turning out to be over its limit; nothing more is sent then. */
  abstract onTooLarge(listener: () => void): void;

  /** Sends it from its beginning; only where {@link isRepeatable}. */
  abstract sendTo(sink: BodySink): BodyTransfer;
}
