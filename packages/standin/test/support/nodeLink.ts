import type { Message } from '@radishbay/core/messages/message.js';
import { MemoryLink, type MemoryLinkOptions } from '@radishbay/link/memory/memoryLink.js';

import type { NodeClock } from './nodeClock.js';

/** An end of a link in memory that belongs to a node, which may be frozen. */
export class NodeLink extends MemoryLink {
  readonly #clock: NodeClock;

  readonly #node: string;

  constructor(clock: NodeClock, node: string, options: MemoryLinkOptions) {
    super(options);
    this.#clock = clock;
    this.#node = node;
  }

  override send(message: Message): void {
    this.#clock.outside(() => super.send(message));
  }

  override close(detail: string): void {
    this.#clock.outside(() => super.close(detail));
  }

  override open(): void {
    this.#clock.run(this.#node, () => super.open());
  }

  override accept(message: Message): void {
    this.#clock.run(this.#node, () => super.accept(message));
  }

  override end(detail: string): void {
    this.#clock.run(this.#node, () => super.end(detail));
  }
}
