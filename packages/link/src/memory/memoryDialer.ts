/** In-memory network between processes, for tests, the fault matrix and benchmarks. */
import type { Link } from '@radishbay/core/ports/link.js';
import { LinkDialer } from '@radishbay/core/ports/linkDialer.js';

import {
  NO_FAULT,
  LinkEnd,
  type LinkFault,
  type LinkEvent,
  type LinkFaultInjector,
} from './linkFaults.js';
import { MemoryLink } from './memoryLink.js';

/** Options of an in-memory network. */
export interface MemoryNetworkOptions {
  /** One-way delay of each message. */
  readonly delayMs: number;
  /** Fault injector; undefined delivers every message. */
  readonly faults?: LinkFaultInjector | undefined;
}

/** Both ends of one link. */
export interface LinkPair {
  readonly dialer: MemoryLink;
  readonly acceptor: MemoryLink;
}

/** Opens links to the listeners of the same in-memory network. */
export class MemoryDialer extends LinkDialer {
  readonly #options: MemoryNetworkOptions;

  readonly #listeners = new Map<string, (link: Link) => void>();

  readonly #pairs = new Map<number, LinkPair>();

  #lastLinkId = 0;

  #lastSequence = 0;

  constructor(options: MemoryNetworkOptions) {
    super();
    this.#options = options;
  }

  /** Links by id; those closed at both ends are removed at the next dial. */
  get pairs(): ReadonlyMap<number, LinkPair> {
    return this.#pairs;
  }

  /** Number of messages sent so far. */
  get sentCount(): number {
    return this.#lastSequence;
  }

  /** Accepts links at an address, replacing any earlier listener there. */
  listen(address: string, onLink: (link: Link) => void): void {
    this.#listeners.set(address, onLink);
  }

  /** Stops accepting links at an address; open links stay open. */
  stopListening(address: string): void {
    this.#listeners.delete(address);
  }

  dial(address: string): Link {
    this.#removeClosed();
    this.#lastLinkId += 1;
    const pair = this.#createPair(this.#lastLinkId, address);
    setTimeout(() => this.#connect(address, pair), this.#options.delayMs);
    return pair.dialer;
  }

  #createPair(linkId: number, address: string): LinkPair {
    const { delayMs } = this.#options;
    const makeEnd = (from: LinkEnd): MemoryLink =>
      new MemoryLink({
        delayMs,
        decide: (message) => this.#decide({ linkId, address, from, message }),
      });
    const pair = { dialer: makeEnd(LinkEnd.Dialer), acceptor: makeEnd(LinkEnd.Acceptor) };
    pair.dialer.join(pair.acceptor);
    pair.acceptor.join(pair.dialer);
    this.#pairs.set(linkId, pair);
    return pair;
  }

  #connect(address: string, pair: LinkPair): void {
    const listener = this.#listeners.get(address);
    if (!listener) {
      pair.dialer.end('nobody listens at the address');
      pair.acceptor.end('nobody listens at the address');
      return;
    }
    pair.acceptor.open();
    listener(pair.acceptor);
    pair.dialer.open();
  }

  #decide(event: Omit<LinkEvent, 'sequence'>): LinkFault {
    this.#lastSequence += 1;
    const numbered = { ...event, sequence: this.#lastSequence };
    return this.#options.faults?.decide(numbered) ?? NO_FAULT;
  }

  #removeClosed(): void {
    this.#pairs.forEach((pair, id) => {
      if (pair.dialer.isClosed && pair.acceptor.isClosed) this.#pairs.delete(id);
    });
  }
}
