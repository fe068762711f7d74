/** Connects the permits of an entry with its links to other entries. */
import type { PermitAsk, PermitGrant } from '../../messages/permitMessage.js';

/** Receives what other entries send. */
export interface PermitReceiver {
  readonly onAsk: (entry: string, ask: PermitAsk) => void;
  readonly onGrant: (entry: string, grant: PermitGrant) => void;
  readonly onPeerLost: (entry: string) => void;
}

/** Sends to other entries; drops what is for an entry without a link. */
export interface PermitSender {
  readonly sendAsk: (entry: string, ask: PermitAsk) => void;
  readonly sendGrant: (entry: string, grant: PermitGrant) => void;
}

/** Messages about permits between this entry and others. */
export class PermitMessages {
  #receiver: PermitReceiver | undefined;

  #sender: PermitSender | undefined;

  setReceiver(receiver: PermitReceiver): void {
    this.#receiver = receiver;
  }

  setSender(sender: PermitSender): void {
    this.#sender = sender;
  }

  sendAsk(entry: string, ask: PermitAsk): void {
    this.#sender?.sendAsk(entry, ask);
  }

  sendGrant(entry: string, grant: PermitGrant): void {
    this.#sender?.sendGrant(entry, grant);
  }

  receiveAsk(entry: string, ask: PermitAsk): void {
    this.#receiver?.onAsk(entry, ask);
  }

  receiveGrant(entry: string, grant: PermitGrant): void {
    this.#receiver?.onGrant(entry, grant);
  }

  notePeerLost(entry: string): void {
    this.#receiver?.onPeerLost(entry);
  }
}
