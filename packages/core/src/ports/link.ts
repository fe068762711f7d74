/**
 * A link between two processes of the system, as decisions see it.
 *
 * Messages of one link arrive in order and at most once, until the link closes. A link may go
 * silent for good without closing; whoever uses it watches for that by heartbeats.
 */
import type { Message } from '../messages/message.js';

/** What the owner of a link wants to hear. */
export interface LinkHandlers {
  readonly onOpen: () => void;
  readonly onMessage: (message: Message) => void;
  /** Called once, also where the link never opened. */
  readonly onClose: (detail: string) => void;
}

/** One end of a link. */
export abstract class Link {
  /** Whether messages can be sent now. */
  abstract get isOpen(): boolean;

  /** Bytes accepted by {@link send} that have not left the process yet. */
  abstract get bufferedBytes(): number;

  /** Sends a message; dropped where the link is not open. */
  abstract send(message: Message): void;

  /** Closes the link; the other end hears of it unless the path is silent. */
  abstract close(detail: string): void;

  /** Names the one listener; messages that came before are delivered then. */
  abstract listen(handlers: LinkHandlers): void;
}
