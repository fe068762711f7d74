/**
 * Interface of a message link between two processes of the system.
 *
 * Messages of one link arrive in order and at most once, until the link closes. A link may stop
 * delivering messages without closing; its user detects this by heartbeats.
 */
import type { Message } from '../messages/message.js';

/** Event handlers of a link. */
export interface LinkHandlers {
  readonly onOpen: () => void;
  readonly onMessage: (message: Message) => void;
  /** Called exactly once, even if the link never opened. */
  readonly onClose: (detail: string) => void;
}

/** One end of a link. */
export abstract class Link {
  /** Whether messages can be sent. */
  abstract get isOpen(): boolean;

  /** Bytes passed to {@link send} that have not left the process yet. */
  abstract get bufferedBytes(): number;

  /** Sends a message, or drops it if the link is not open. */
  abstract send(message: Message): void;

  /** Closes the link; the other end is notified unless the network path is broken. */
  abstract close(detail: string): void;

  /** Sets the only listener; messages received before are delivered to it. */
  abstract listen(handlers: LinkHandlers): void;
}
