/** Turns numbered events of links into the fates that a cell asks for. */
import { MessageType } from '@radishbay/core/messages/message.js';
import {
  DELIVERED,
  LinkFaults,
  type Fate,
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
export class ObservedFaults extends LinkFaults {
  readonly #events: EventLog;

  #nextFate: Fate | undefined;

  /** Messages that are numbered; undefined where all but the periodic ones are. */
  steps: ReadonlySet<MessageType> | undefined;

  constructor(events: EventLog) {
    super();
    this.#events = events;
  }

  /** Sets the fate of the message that is being numbered now. */
  setFate(fate: Fate): void {
    this.#nextFate = fate;
  }

  override decide(event: LinkEvent): Fate {
    const { type } = event.message;
    if (BACKGROUND.has(type) || this.steps?.has(type) === false) return DELIVERED;
    this.#nextFate = undefined;
    this.#events.note(event.address, EventKind.Link, describeEvent(event));
    return this.#nextFate ?? DELIVERED;
  }
}
