/** Turns numbered events of links into the fates that a cell asks for. */
import { MessageType } from '@radishbay/core/messages/message.js';
import {
  NO_FAULT,
  LinkFaultInjector,
  type LinkFault,
  type LinkEvent,
} from '@radishbay/link/memory/linkFaults.js';

import { EventKind, type EventLog } from './eventLog.js';

/** Messages sent again and again whatever else happens: they are no steps of a request's path. */
const BACKGROUND = new Set([MessageType.Heartbeat, MessageType.Report, MessageType.CacheEvents]);

/** Names an event of a link for the log of events. */
function describeEvent(event: LinkEvent): string {
  return `${event.message.type} ${event.from}`;
}

/** Numbers each message and applies the fate that was set for it. */
export class ObservedFaults extends LinkFaultInjector {
  readonly #events: EventLog;

  #nextFate: LinkFault | undefined;

  /** Messages that are numbered; undefined where all but the periodic ones are. */
  steps: ReadonlySet<MessageType> | undefined;

  constructor(events: EventLog) {
    super();
    this.#events = events;
  }

  /** Sets the fate of the message that is being numbered now. */
  setFate(fate: LinkFault): void {
    this.#nextFate = fate;
  }

  override decide(event: LinkEvent): LinkFault {
    const { type } = event.message;
    if (BACKGROUND.has(type) || this.steps?.has(type) === false) return NO_FAULT;
    this.#nextFate = undefined;
    this.#events.note(event.address, EventKind.Link, describeEvent(event));
    return this.#nextFate ?? NO_FAULT;
  }
}
