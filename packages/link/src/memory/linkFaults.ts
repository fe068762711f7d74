/** Fault injection for messages on in-memory links. */
import type { Message } from '@radishbay/core/messages/message.js';

/** Which end of a link sent a message. */
export enum LinkEnd {
  Dialer = 'dialler',
  Acceptor = 'acceptor',
}

/** A message about to be sent. Sequence numbers are shared by all links of a network. */
export interface LinkEvent {
  readonly sequence: number;
  readonly linkId: number;
  /** Address that was dialed. */
  readonly address: string;
  readonly from: LinkEnd;
  readonly message: Message;
}

export enum LinkFaultKind {
  Deliver = 'deliver',
  /** Lost in transit; the link stays open. */
  Drop = 'drop',
  /** Delivered twice. */
  Repeat = 'repeat',
  /** Lost with all later messages in both directions; neither end is notified of a close. */
  Silence = 'silence',
  /** Lost, and both ends are notified of a close. */
  Cut = 'cut',
  /** Lost, and only the sender is notified of a close; the receiver gets no more messages. */
  CutSender = 'cut-sender',
  /** Lost, and only the receiver is notified of a close; the sender gets no more messages. */
  CutReceiver = 'cut-receiver',
}

/** How one message is delivered or lost. */
export interface LinkFault {
  readonly kind: LinkFaultKind;
  /** Added to the network delay; later messages on the link are delivered after this one. */
  readonly extraDelayMs: number;
}

/** Delivery without a fault. */
export const NO_FAULT: LinkFault = { kind: LinkFaultKind.Deliver, extraDelayMs: 0 };

/** Chooses the fault, if any, for each message sent. */
export abstract class LinkFaultInjector {
  abstract decide(event: LinkEvent): LinkFault;
}
