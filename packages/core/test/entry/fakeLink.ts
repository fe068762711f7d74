/** The entry's end of a link; what it sends waits until the test delivers it. */
import type { Message } from '../../src/messages/message.js';
import { Link } from '../../src/ports/link.js';

/** Link whose messages the test moves by hand. */
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
