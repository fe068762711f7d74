/**
 * Tracks the ids of a stream's events, to check that a resumed response goes on after the last one.
 *
 * Ids of digits rise by a constant step, 1 unless the stream shows another one. Of all other ids it
 * is known only that they do not repeat.
 */

/** Digits that a number holds exactly. */
const INTEGER = /^\d{1,15}$/u;

const DEFAULT_STEP = 1;

function parseInteger(id: string): number | undefined {
  return INTEGER.test(id) ? Number(id) : undefined;
}

/** @returns id of the event before one, as far as it can be told from the id alone */
export function readPrecedingId(id: string): string | undefined {
  const number = parseInteger(id);
  return number === undefined || number < DEFAULT_STEP ? undefined : String(number - DEFAULT_STEP);
}

/** Whether an event comes after another one, as far as it can be told from their ids alone. */
export function isLaterId(id: string | undefined, earlierId: string): boolean {
  if (id === undefined || id === earlierId) return false;
  const number = parseInteger(id);
  const earlier = parseInteger(earlierId);
  return number === undefined || earlier === undefined || number > earlier;
}

/** Ids of the events that the caller has received. */
export class EventSequence {
  #lastId: string | undefined;

  #previousId: string | undefined;

  /** Undefined before the second id, and once the ids have not risen by a constant step. */
  #step: number | undefined;

  #isRegular = true;

  /** Id of the last event that has one. */
  get lastId(): string | undefined {
    return this.#lastId;
  }

  /** Id of the event before the last one that has an id. */
  get previousId(): string | undefined {
    return this.#previousId;
  }

  /** Whether an id, undefined if the event has none, can be that of the next event. */
  canFollow(id: string | undefined): boolean {
    if (this.#lastId === undefined) return true;
    if (id === undefined || id === this.#lastId) return false;
    const last = parseInteger(this.#lastId);
    const next = parseInteger(id);
    if (last === undefined || next === undefined) return true;
    return this.#isRegular ? next === last + (this.#step ?? DEFAULT_STEP) : next > last;
  }

  /** Adds the ids of events, in order. */
  append(ids: readonly string[]): void {
    ids.forEach((id) => {
      this.#observeStep(id);
      this.#previousId = this.#lastId;
      this.#lastId = id;
    });
  }

  #observeStep(id: string): void {
    if (this.#lastId === undefined || !this.#isRegular) return;
    const last = parseInteger(this.#lastId);
    const next = parseInteger(id);
    if (last === undefined || next === undefined) return;
    const step = next - last;
    this.#isRegular = step > 0 && step === (this.#step ?? step);
    this.#step = step;
  }
}
