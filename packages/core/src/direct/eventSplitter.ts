/**
 * Cuts a stream of server-sent events after whole events.
 *
 * Bytes of an event that is not whole yet are kept back, so that a stream that breaks off can go on
 * at another upstream after the last event that the caller has. Each byte is looked at once, and an
 * event has a greatest size: an upstream in trouble may send bytes without end.
 */
import { GrowingBuffer } from './growingBuffer.js';

const LINE_FEED = 0x0a;

const CARRIAGE_RETURN = 0x0d;

const ID_FIELD = /(?:^|\n)id:[ ]?([^\r\n]*)/gu;

/** Bytes of one event at most: far more than the tokens of any pass. */
export const EVENT_BYTES_MAX = 256 * 1024;

/** Whole events, as they go to the caller. */
export interface WholeEvents {
  readonly data: Buffer;
  readonly count: number;
  /** Id of the last event that has one. */
  readonly lastId: string | undefined;
}

/** Splits the events of one answer of an upstream. */
export class EventSplitter {
  /** Beginning of the event that is not whole yet. */
  readonly #pending = new GrowingBuffer();

  /** Bytes of the line that is not whole yet, and the last of them. */
  #lineBytes = 0;

  #lastByte = 0;

  /** Whether the event that is not whole yet has a line with something in it. */
  #hasContent = false;

  #isOversized = false;

  /** Whether bytes of an event are kept back. */
  get isMidEvent(): boolean {
    return this.#pending.sizeBytes > 0;
  }

  /** Whether an event was larger than {@link EVENT_BYTES_MAX}; nothing more is kept then. */
  get isOversized(): boolean {
    return this.#isOversized;
  }

  /** @returns the events that are whole now; undefined where there is none */
  push(chunk: Buffer): WholeEvents | undefined {
    if (this.#isOversized) return undefined;
    const { end, count } = this.#findEnds(chunk);
    const whole =
      end > 0 ? Buffer.concat([this.#pending.take(), chunk.subarray(0, end)]) : undefined;
    this.#keepPending(chunk.subarray(end));
    if (!whole) return undefined;
    const ids = [...whole.toString('latin1').matchAll(ID_FIELD)];
    return { data: whole, count, lastId: ids[ids.length - 1]?.[1] };
  }

  /** Where the last whole event of a chunk ends, and how many end in it. */
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
