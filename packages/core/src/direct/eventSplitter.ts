/**
 * Splits a stream of server-sent events at the ends of events.
 *
 * Bytes of an incomplete event are held back, so that a stream that breaks off can be resumed at
 * another upstream after the last event that the caller received. Each byte is scanned once, and
 * the size of an event is limited, as a faulty upstream may send bytes without end.
 */
import { GrowingBuffer } from './growingBuffer.js';

const LINE_FEED = 0x0a;

const CARRIAGE_RETURN = 0x0d;

const ID_FIELD = /(?:^|\n)id:[ ]?([^\r\n]*)/gu;

const DATA_FIELD = /(?:^|\n)data[:\r\n]/u;

/** Maximum size of one event, far above that of the tokens of any pass. */
export const EVENT_BYTES_MAX = 256 * 1024;

/** Complete events, as they are forwarded to the caller. */
export interface CompleteEvents {
  readonly data: Buffer;
  readonly count: number;
  /** Ids of the events that have one, in order. */
  readonly ids: readonly string[];
  /** Whether they are comments only. */
  readonly isComment: boolean;
}

const EVENT_END = /\r?\n\r?\n/u;

/** Removes all events up to the first one that has an id; the rest can be empty. */
export function skipFirstId({ data, count, ids }: CompleteEvents): CompleteEvents {
  const text = data.toString('latin1');
  const idAt = text.search(ID_FIELD) + 1;
  const end = EVENT_END.exec(text.slice(idAt));
  const skippedBytes = end ? idAt + end.index + end[0].length : data.length;
  const skipped = text.slice(0, skippedBytes).split(EVENT_END);
  const rest = data.subarray(skippedBytes);
  return {
    data: rest,
    count: count - skipped.filter((event) => event.trim() !== '').length,
    ids: ids.slice(1),
    isComment: ids.length === 1 && !DATA_FIELD.test(rest.toString('latin1')),
  };
}

/** Splits the events of one upstream response. */
export class EventSplitter {
  /** Bytes of the incomplete event. */
  readonly #pending = new GrowingBuffer();

  /** Length and last byte of the incomplete line. */
  #lineBytes = 0;

  #lastByte = 0;

  /** Whether the incomplete event has a line that is not blank. */
  #hasContent = false;

  #isOversized = false;

  /** Whether bytes of an incomplete event are held back. */
  get isMidEvent(): boolean {
    return this.#pending.sizeBytes > 0;
  }

  /** Memory in use for the incomplete event. */
  get pendingBytes(): number {
    return this.#pending.capacityBytes;
  }

  /** Whether an event exceeded {@link EVENT_BYTES_MAX}; all further data is discarded. */
  get isOversized(): boolean {
    return this.#isOversized;
  }

  /** @returns the events that are complete now; undefined where there is none */
  push(chunk: Buffer): CompleteEvents | undefined {
    if (this.#isOversized) return undefined;
    const { end, count } = this.#findEnds(chunk);
    const complete =
      end > 0 ? Buffer.concat([this.#pending.take(), chunk.subarray(0, end)]) : undefined;
    this.#keepPending(chunk.subarray(end));
    if (!complete) return undefined;
    const text = complete.toString('latin1');
    const ids = [...text.matchAll(ID_FIELD)].map(([, id = '']) => id);
    return { data: complete, count, ids, isComment: ids.length === 0 && !DATA_FIELD.test(text) };
  }

  /**
   * Returns the end of the last complete event in a chunk, and the number of events that end in it.
   */
  #findEnds(chunk: Buffer): { readonly end: number; readonly count: number } {
    let end = 0;
    let count = 0;
    let lineStart = 0;
    for (let at = chunk.indexOf(LINE_FEED); at >= 0; at = chunk.indexOf(LINE_FEED, at + 1)) {
      this.#noteLineBytes(chunk, lineStart, at);
      if (!this.#isLineBlank) this.#hasContent = true;
      else if (this.#hasContent) {
        this.#hasContent = false;
        end = at + 1;
        count += 1;
      }
      this.#lineBytes = 0;
      lineStart = at + 1;
    }
    this.#noteLineBytes(chunk, lineStart, chunk.length);
    return { end, count };
  }

  #noteLineBytes(chunk: Buffer, start: number, end: number): void {
    if (end <= start) return;
    this.#lineBytes += end - start;
    this.#lastByte = chunk[end - 1] ?? 0;
  }

  get #isLineBlank(): boolean {
    return this.#lineBytes === 0 || (this.#lineBytes === 1 && this.#lastByte === CARRIAGE_RETURN);
  }

  #keepPending(piece: Buffer): void {
    if (this.#pending.sizeBytes + piece.length <= EVENT_BYTES_MAX) {
      this.#pending.append(piece);
      return;
    }
    this.#isOversized = true;
    this.#pending.take();
  }
}
