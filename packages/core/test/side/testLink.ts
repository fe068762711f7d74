/** The side process's end of a link; the test acts as the other end. */
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

  /** Delivers a message, even after the link is closed. */
  receive(message: Message): void {
    this.#handlers?.onMessage(message);
  }
}
