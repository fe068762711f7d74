/** In-memory links between the entries of a test. */
import type { LoadExchange } from '../../src/direct/loadExchange.js';
import type { Message } from '../../src/messages/message.js';
import { Link, type LinkHandlers } from '../../src/ports/link.js';
import { LinkDialer } from '../../src/ports/linkDialer.js';

/** One end of an in-memory link that delivers messages after 1 ms. */
export class PairedLink extends Link {
  other: PairedLink | undefined;

  isSilent = false;

  readonly sent: Message[] = [];

  #handlers: LinkHandlers | undefined;

  #isClosed = false;

  override get isOpen(): boolean {
    return !this.#isClosed;
  }

  override get bufferedBytes(): number {
    return 0;
  }

  override send(message: Message): void {
    if (this.#isClosed || this.isSilent) return;
    this.sent.push(message);
    setTimeout(() => this.other?.deliver(message), 1);
  }

  override close(detail: string): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.#handlers?.onClose(detail);
    this.other?.close(detail);
  }

  override listen(handlers: LinkHandlers): void {
    this.#handlers = handlers;
  }

  deliver(message: Message): void {
    if (!this.#isClosed) this.#handlers?.onMessage(message);
  }
}

/** Dials exchanges by the names of their entries; each end of a link is added to `links`. */
export function createPairedDialer(
  findExchange: (name: string) => LoadExchange | undefined,
  links: PairedLink[],
): LinkDialer {
  return Object.assign(Object.create(LinkDialer.prototype) as LinkDialer, {
    dial: (address: string): Link => {
      const [one, other] = [new PairedLink(), new PairedLink()];
      one.other = other;
      other.other = one;
      links.push(one, other);
      setTimeout(() => findExchange(address)?.attach(other), 0);
      return one;
    },
  });
}
