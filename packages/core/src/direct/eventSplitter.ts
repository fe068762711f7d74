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

/** Start of a line that is neither blank nor a comment. */
const FIELD = /(?:^|\n)[^:\r\n]/u;

const DATA_FIELD = /(?:^|\n)data[:\r\n]/u;

/** Maximum size of one event, far above that of the tokens of any pass. */
export const EVENT_BYTES_MAX = 256 * 1024;

/** Complete events, as they are forwarded to the caller. */
export interface CompleteEvents {
  readonly data: Buffer;
  /** Offset of the end of each event. */
  readonly ends: readonly number[];
  readonly count: number;
  /** Ids of the events that have one, in order. */
  readonly ids: readonly string[];
  /** Whether they are comments only. */
  readonly isComment: boolean;
}

function listIds(text: string): readonly string[] {
  return [...text.matchAll(ID_FIELD)].map(([, id = '']) => id);
}

function describeEvents(data: Buffer, ends: readonly number[]): CompleteEvents {
  const text = data.toString('latin1');
  const ids = listIds(text);
  const isComment = ids.length === 0 && !DATA_FIELD.test(text);
  return { data, ends, count: ends.length, ids, isComment };
}

/** @returns the first event that has an id, and its index; undefined where there is none */
export function findFirstId({
  data,
  ends,
}: CompleteEvents): { readonly id: string; readonly index: number } | undefined {
  for (let index = 0; index < ends.length; index += 1) {
    const text = data.toString('latin1', ends[index - 1] ?? 0, ends[index]);
    const [id] = listIds(text);
    if (id !== undefined) return { id, index };
  }
  return undefined;
}

/** Removes a number of events from the start; the rest can be empty. */
export function skipEvents({ data, ends }: CompleteEvents, skippedCount: number): CompleteEvents {
  const skippedBytes = ends[skippedCount - 1] ?? 0;
  const rest = ends.slice(skippedCount).map((end) => end - skippedBytes);
  return describeEvents(data.subarray(skippedBytes), rest);
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

  /** Whether part of an event is held back; blank lines and comments are no part of one. */
  get isMidEvent(): boolean {
    return this.#isOversized || FIELD.test(this.#pending.peek().toString('latin1'));
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
    const ends = this.#findEnds(chunk);
    const lastEnd = ends.at(-1);
    if (lastEnd === undefined) {
      this.#keepPending(chunk);
      return undefined;
    }
    const pending = this.#pending.take();
    const data = Buffer.concat([pending, chunk.subarray(0, lastEnd)]);
    this.#keepPending(chunk.subarray(lastEnd));
    return describeEvents(
      data,
      ends.map((end) => pending.length + end),
    );
  }

  /** Returns the offsets at which events end in a chunk. */
  #findEnds(chunk: Buffer): readonly number[] {
    const ends: number[] = [];
    let lineStart = 0;
    for (let at = chunk.indexOf(LINE_FEED); at >= 0; at = chunk.indexOf(LINE_FEED, at + 1)) {
      this.#noteLineBytes(chunk, lineStart, at);
      if (!this.#isLineBlank) this.#hasContent = true;
      else if (this.#hasContent) {
        this.#hasContent = false;
        ends.push(at + 1);
      }
      this.#lineBytes = 0;
      lineStart = at + 1;
    }
    this.#noteLineBytes(chunk, lineStart, chunk.length);
    return ends;
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
