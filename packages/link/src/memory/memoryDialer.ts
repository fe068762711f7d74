/** Processes that reach each other over links in memory, for tests, matrix and bench. */
import type { Link } from '@radishbay/core/ports/link.js';
import { LinkDialer } from '@radishbay/core/ports/linkDialer.js';

import { DELIVERED, LinkEnd, type Fate, type LinkEvent, type LinkFaults } from './linkFaults.js';
import { MemoryLink } from './memoryLink.js';

/** Options of a network in memory. */
export interface MemoryNetworkOptions {
  /** One way. */
  readonly delayMs: number;
  /** Undefined where nothing goes wrong. */
  readonly faults?: LinkFaults | undefined;
}

/** Both ends of one link. */
export interface LinkPair {
  readonly dialler: MemoryLink;
  readonly acceptor: MemoryLink;
}

/** Opens links to whoever listens at an address of the same network. */
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

  /** Links that have been made and not yet closed at both ends, by number. */
  get pairs(): ReadonlyMap<number, LinkPair> {
    return this.#pairs;
  }

  /** Number of messages sent so far. */
  get sentCount(): number {
    return this.#lastSequence;
  }

  /** Accepts links at an address; replaces the listener that was there. */
  listen(address: string, onLink: (link: Link) => void): void {
    this.#listeners.set(address, onLink);
  }

  /** Accepts no further links at an address. */
  stopListening(address: string): void {
    this.#listeners.delete(address);
  }

  dial(address: string): Link {
    this.#removeClosed();
    this.#lastLinkId += 1;
    const pair = this.#makePair(this.#lastLinkId, address);
    setTimeout(() => this.#connect(address, pair), this.#options.delayMs);
    return pair.dialler;
  }

  #makePair(linkId: number, address: string): LinkPair {
    const { delayMs } = this.#options;
    const makeEnd = (from: LinkEnd): MemoryLink =>
      new MemoryLink({
        delayMs,
        decide: (message) => this.#decide({ linkId, address, from, message }),
      });
    const pair = { dialler: makeEnd(LinkEnd.Dialler), acceptor: makeEnd(LinkEnd.Acceptor) };
    pair.dialler.join(pair.acceptor);
    pair.acceptor.join(pair.dialler);
    this.#pairs.set(linkId, pair);
    return pair;
  }

  #connect(address: string, pair: LinkPair): void {
    const listener = this.#listeners.get(address);
    if (!listener) {
      pair.dialler.end('nobody listens at the address');
      pair.acceptor.end('nobody listens at the address');
      return;
    }
    pair.acceptor.open();
    listener(pair.acceptor);
    pair.dialler.open();
  }

  #decide(event: Omit<LinkEvent, 'sequence'>): Fate {
    this.#lastSequence += 1;
    const numbered = { ...event, sequence: this.#lastSequence };
    return this.#options.faults?.decide(numbered) ?? DELIVERED;
  }

  #removeClosed(): void {
    this.#pairs.forEach((pair, id) => {
      if (pair.dialler.isClosed && pair.acceptor.isClosed) this.#pairs.delete(id);
    });
  }
}
