/** A link that hands each message to a function. */
import type { Message } from '@radishbay/core/messages/message.js';
import { Link } from '@radishbay/core/ports/link.js';

/** An open link. */
export class RelayLink extends Link {
  readonly isOpen = true;

  readonly bufferedBytes = 0;

  readonly #deliver: (message: Message) => void;

  constructor(deliver: (message: Message) => void) {
    super();
    this.#deliver = deliver;
  }

  override send(message: Message): void {
    this.#deliver(message);
  }

  override close(): void {}

  override listen(): void {}
}
