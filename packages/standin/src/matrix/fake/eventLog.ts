/** The numbered events of a run at the interfaces: messages, platform calls, engine calls. */

export interface NumberedEvent {
  readonly number: number;
  readonly atMs: number;
  /** Process or upstream at which it happens. */
  readonly place: string;
  /** Interface: link, store or engine. */
  readonly kind: string;
  readonly detail: string;
}

export type EventListener = (event: NumberedEvent) => void;

/** Numbers events and tells the one listener of each before it takes effect. */
export class EventLog {
  readonly #events: NumberedEvent[] = [];

  #listener: EventListener | undefined;

  /** Events are numbered only while a scenario acts. */
  isCounting = false;

  get events(): readonly NumberedEvent[] {
    return this.#events;
  }

  listen(listener: EventListener): void {
    this.#listener = listener;
  }

  note(place: string, kind: string, detail: string): NumberedEvent | undefined {
    if (!this.isCounting) return undefined;
    const event = { number: this.#events.length + 1, atMs: Date.now(), place, kind, detail };
    this.#events.push(event);
    this.#listener?.(event);
    return event;
  }
}
