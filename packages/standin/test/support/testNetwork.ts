import type { Message } from '@radishbay/core/messages/message.js';
import type { Link } from '@radishbay/core/ports/link.js';
import { LinkDialer } from '@radishbay/core/ports/linkDialer.js';
import { NO_FAULT, LinkFaultKind, type LinkFault } from '@radishbay/link/memory/linkFaults.js';

import { implement } from './implement.js';
import type { NodeClock } from './nodeClock.js';
import { NodeLink } from './nodeLink.js';

const DELAY_MS = 1;

interface Listener {
  readonly node: string;
  readonly accept: (link: Link) => void;
}

/** Links between named nodes; the path between two of them can be cut without a word. */
export class TestNetwork {
  readonly #clock: NodeClock;

  readonly #listeners = new Map<string, Listener>();

  readonly #cuts = new Set<string>();

  /** Sees each message that a node sends. */
  onSend: ((node: string, message: Message) => void) | undefined;

  constructor(clock: NodeClock) {
    this.#clock = clock;
  }

  listen(node: string, address: string, accept: (link: Link) => void): void {
    this.#listeners.set(address, { node, accept });
  }

  unlisten(address: string): void {
    this.#listeners.delete(address);
  }

  /** Loses all messages between two nodes from now on; neither hears a close. */
  cut(one: string, other: string): void {
    this.#cuts.add([one, other].sort().join(' '));
  }

  heal(one: string, other: string): void {
    this.#cuts.delete([one, other].sort().join(' '));
  }

  isCut(one: string, other: string): boolean {
    return this.#cuts.has([one, other].sort().join(' '));
  }

  /** Opens a link from a node to an address. */
  dial(node: string, address: string): Link {
    const listener = this.#listeners.get(address);
    const createEnd = (owner: string): NodeLink => {
      const decide = (message: Message) => this.#decide(owner, node, listener?.node, message);
      return new NodeLink(this.#clock, owner, { delayMs: DELAY_MS, decide });
    };
    const near = createEnd(node);
    if (!listener) {
      this.#clock.outside(() => setTimeout(() => near.end('refused'), DELAY_MS));
      return near;
    }
    const far = createEnd(listener.node);
    near.join(far);
    far.join(near);
    this.#clock.outside(() => setTimeout(() => this.#connect(node, listener, near, far), DELAY_MS));
    return near;
  }

  /** Makes the dialler of one node. */
  createDialer(node: string): LinkDialer {
    return implement(LinkDialer, { dial: (address) => this.dial(node, address) });
  }

  #decide(sender: string, one: string, other: string | undefined, message: Message): LinkFault {
    this.onSend?.(sender, message);
    const isLost = other !== undefined && this.isCut(one, other);
    return isLost ? { kind: LinkFaultKind.Drop, extraDelayMs: 0 } : NO_FAULT;
  }

  #connect(node: string, listener: Listener, near: NodeLink, far: NodeLink): void {
    if (this.isCut(node, listener.node)) return;
    this.#clock.run(listener.node, () => {
      far.open();
      listener.accept(far);
      near.open();
    });
  }
}
