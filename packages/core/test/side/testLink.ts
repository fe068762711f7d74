/** The side's end of a link whose other end is the test itself. */
import { parseMessage, type Message } from '../../src/messages/message.js';
import { Link, type LinkHandlers } from '../../src/ports/link.js';

export class TestLink extends Link {
  readonly sent: Message[] = [];

  isOpen = true;

  bufferedBytes = 0;

  closeDetail: string | undefined;

  #handlers: LinkHandlers | undefined;

  send(message: Message): void {
    if (!this.isOpen) return;
    const parsed = parseMessage(message);
    if (!parsed.ok) throw new Error(parsed.val);
    this.sent.push(parsed.val);
  }

  close(detail: string): void {
    if (!this.isOpen) return;
    this.isOpen = false;
    this.closeDetail = detail;
    this.#handlers?.onClose(detail);
  }

  listen(handlers: LinkHandlers): void {
    this.#handlers = handlers;
  }

  /** Lets a message arrive, also one that comes after the close. */
  receive(message: Message): void {
    this.#handlers?.onMessage(message);
  }
}
