/**
 * Tracks the ids of a stream's events, to check that a resumed response goes on after the last one.
 *
 * Ids of digits rise by a constant step, 1 unless the stream shows another one. Of all other ids it
 * is known only that they do not repeat.
 */

/** Digits that a number holds exactly. */
const INTEGER = /^\d{1,15}$/u;

const DEFAULT_STEP = 1;

/** Number of ids that are kept. */
const RECENT_IDS_MAX = 4;

function parseInteger(id: string): number | undefined {
  return INTEGER.test(id) ? Number(id) : undefined;
}

/**
 * Lists the ids of the events before one, in order, as far as they can be told from ids alone.
 *
 * @param nextId id of the event after it, which shows the step; undefined where it is not known
 * @param count how many ids are listed at most
 */
export function listPrecedingIds(
  id: string,
  nextId: string | undefined,
  count: number,
): readonly string[] {
  const number = parseInteger(id);
  if (number === undefined) return [];
  const next = nextId === undefined ? undefined : parseInteger(nextId);
  const step = next !== undefined && next > number ? next - number : DEFAULT_STEP;
  return Array.from({ length: count }, (_, at) => number - (count - at) * step)
    .filter((each) => each >= 0)
    .map(String);
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
  readonly #recentIds: string[] = [];

  #count = 0;

  /** Undefined before the second id, and once the ids have not risen by a constant step. */
  #step: number | undefined;

  #isRegular = true;

  /** Id of the last event that has one. */
  get lastId(): string | undefined {
    return this.#recentIds.at(-1);
  }

  /** Ids of the last events that have one, in order. */
  get recentIds(): readonly string[] {
    return this.#recentIds;
  }

  /** Number of events that have an id. */
  get count(): number {
    return this.#count;
  }

  /** Whether an id, undefined if the event has none, can be that of the next event. */
  canFollow(id: string | undefined): boolean {
    const { lastId } = this;
    if (lastId === undefined) return true;
    if (id === undefined || id === lastId) return false;
    const last = parseInteger(lastId);
    const next = parseInteger(id);
    if (last === undefined || next === undefined) return true;
    return this.#isRegular ? next === last + (this.#step ?? DEFAULT_STEP) : next > last;
  }

  /** Adds the ids of events, in order. */
  append(ids: readonly string[]): void {
    ids.forEach((id) => {
      this.#observeStep(id);
      this.#recentIds.push(id);
      if (this.#recentIds.length > RECENT_IDS_MAX) this.#recentIds.shift();
    });
    this.#count += ids.length;
  }

  #observeStep(id: string): void {
    const { lastId } = this;
    if (lastId === undefined || !this.#isRegular) return;
    const last = parseInteger(lastId);
    const next = parseInteger(id);
    if (last === undefined || next === undefined) return;
    const step = next - last;
    this.#isRegular = step > 0 && step === (this.#step ?? step);
    this.#step = step;
  }
}
