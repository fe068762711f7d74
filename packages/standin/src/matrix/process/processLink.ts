/** A link as one simulated process holds it: what comes in waits while the process is frozen. */
import type { Message } from '@radishbay/core/messages/message.js';
import { Link, type LinkHandlers } from '@radishbay/core/ports/link.js';

import { SimProcess } from './simProcess.js';

/** Wraps one end of a link. */
export class ProcessLink extends Link {
  readonly #inner: Link;

  readonly #owner: SimProcess;

  constructor(inner: Link, owner: SimProcess) {
    super();
    this.#inner = inner;
    this.#owner = owner;
    owner.onDeath(() => inner.close('the process has died'));
  }

  override get isOpen(): boolean {
    return this.#inner.isOpen;
  }

  override get bufferedBytes(): number {
    return this.#inner.bufferedBytes;
  }

  override send(message: Message): void {
    this.#owner.call(() => this.#inner.send(message));
  }

  override close(detail: string): void {
    SimProcess.outside(() => this.#inner.close(detail));
  }

  override listen(handlers: LinkHandlers): void {
    SimProcess.outside(() =>
      this.#inner.listen({
        onOpen: () => this.#owner.post(handlers.onOpen),
        onMessage: (message) => this.#owner.post(() => handlers.onMessage(message)),
        onClose: (detail) => this.#owner.post(() => handlers.onClose(detail)),
      }),
    );
  }
}
