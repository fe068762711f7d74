/**
 * Cuts a stream of server-sent events after whole events.
 *
 * Bytes of an event that is not whole yet are kept back, so that a stream that breaks off can go on
 * at another upstream after the last event that the caller has.
 */

const LINE_FEED = 0x0a;

const CARRIAGE_RETURN = 0x0d;

const ID_FIELD = /(?:^|\n)id:[ ]?([^\r\n]*)/gu;

/** Whole events, as they go to the caller. */
export interface WholeEvents {
  readonly data: Buffer;
  readonly count: number;
  /** Id of the last event that has one. */
  readonly lastId: string | undefined;
}

function isLineEnd(data: Buffer, at: number): boolean {
  if (data[at - 1] === LINE_FEED) return true;
  return data[at - 1] === CARRIAGE_RETURN && data[at - 2] === LINE_FEED;
}

/** Splits the events of one answer of an upstream. */
export class EventSplitter {
  #rest: Buffer = Buffer.alloc(0);

  /** Whether bytes of an event are kept back. */
  get isMidEvent(): boolean {
    return this.#rest.length > 0;
  }

  /** @returns the events that are whole now; undefined where there is none */
  push(chunk: Buffer): WholeEvents | undefined {
    const data = this.#rest.length > 0 ? Buffer.concat([this.#rest, chunk]) : chunk;
    let end = 0;
    let count = 0;
    for (let at = data.indexOf(LINE_FEED); at >= 0; at = data.indexOf(LINE_FEED, at + 1)) {
      if (at > end && isLineEnd(data, at)) {
        end = at + 1;
        count += 1;
      }
    }
    this.#rest = data.subarray(end);
    if (end === 0) return undefined;
    const whole = data.subarray(0, end);
    const ids = [...whole.toString('latin1').matchAll(ID_FIELD)];
    return { data: whole, count, lastId: ids[ids.length - 1]?.[1] };
  }
}
