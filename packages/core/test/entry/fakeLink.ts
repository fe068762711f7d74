/** The entry's end of a link, which keeps messages in an outbox until the test delivers them. */
import type { Message } from '../../src/messages/message.js';
import { Link } from '../../src/ports/link.js';

/** Link whose messages are delivered by the test. */
export class FakeLink extends Link {
  isOpen = true;

  readonly bufferedBytes = 0;

  outbox: Message[] = [];

  override send(message: Message): void {
    if (this.isOpen) this.outbox.push(message);
  }

  override close(): void {
    this.isOpen = false;
  }

  override listen(): void {}
}
