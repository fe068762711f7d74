/** The numbered events of a run at the interfaces: messages, platform calls, engine calls. */

import { SimProcess } from '../process/simProcess.js';

/** Interface at which an event happens. */
export enum EventKind {
  Link = 'link',
  Store = 'store',
  Engine = 'engine',
}

export interface NumberedEvent {
  readonly number: number;
  readonly atMs: number;
  /** Name of the process that makes the call; empty for the harness. */
  readonly caller: string;
  /** Address, upstream or key that the call is made to. */
  readonly place: string;
  readonly kind: EventKind;
  readonly detail: string;
}

export type EventListener = (event: NumberedEvent) => void;

/** Numbers events and tells the one listener of each before it takes effect. */
export class EventLog {
  readonly #events: NumberedEvent[] = [];

  #listener: EventListener | undefined;

  /** Events are numbered only while a scenario acts. */
  isCounting = false;

  /** Interfaces whose events are numbered. */
  kinds: ReadonlySet<EventKind> = new Set(Object.values(EventKind));

  get events(): readonly NumberedEvent[] {
    return this.#events;
  }

  listen(listener: EventListener): void {
    this.#listener = listener;
  }

  note(place: string, kind: EventKind, detail: string): NumberedEvent | undefined {
    if (!this.isCounting || !this.kinds.has(kind)) return undefined;
    const event = {
      number: this.#events.length + 1,
      atMs: Date.now(),
      caller: SimProcess.caller?.name ?? '',
      place,
      kind,
      detail,
    };
    this.#events.push(event);
    this.#listener?.(event);
    return event;
  }
}
