/** What a harness may do to each message of links held in memory. */
import type { Message } from '@radishbay/core/messages/message.js';

/** Which end of a link sent a message. */
export enum LinkEnd {
  Dialler = 'dialler',
  Acceptor = 'acceptor',
}

/** One message about to travel; all messages of a network are numbered in one sequence. */
export interface LinkEvent {
  readonly sequence: number;
  readonly linkId: number;
  /** Address that was dialled. */
  readonly address: string;
  readonly from: LinkEnd;
  readonly message: Message;
}

export enum FateKind {
  Deliver = 'deliver',
  /** Lost on the way; the link stays open. */
  Drop = 'drop',
  /** Delivered twice. */
  Repeat = 'repeat',
  /** Lost, as is all that follows in both directions; neither end hears a close. */
  Silence = 'silence',
  /** Lost, and both ends hear a close. */
  Cut = 'cut',
  /** Lost, and only the sender hears a close; the other end finds the link silent. */
  CutSender = 'cut-sender',
  /** Lost, and only the receiver hears a close; the sender finds the link silent. */
  CutReceiver = 'cut-receiver',
}

/** What becomes of one message. */
export interface Fate {
  readonly kind: FateKind;
  /** Added to the delay of the network; later messages wait behind this one. */
  readonly extraDelayMs: number;
}

/** Fate of a message that nothing happens to. */
export const DELIVERED: Fate = { kind: FateKind.Deliver, extraDelayMs: 0 };

/** Decides the fate of each message. */
export abstract class LinkFaults {
  abstract decide(event: LinkEvent): Fate;
}
