/**
 * Passes the answers of a request's attempts on to its caller as one answer.
 *
 * A plain answer is held until it is whole, so that one that breaks off can be replaced; a large
 * one is passed on from a bound on. Of a stream, whole events are passed on as they come, under the
 * head of the first upstream that gave one.
 */
import { AnswerFraming, type Caller } from '../ports/caller.js';
import type { AnswerHead } from '../ports/upstreamCaller.js';

import { EventSplitter } from './eventSplitter.js';
import { GrowingBuffer } from './growingBuffer.js';

/** Bytes of a plain answer that are held at most. */
const BUFFERED_BYTES_MAX = 256 * 1024;

/** Bytes of a plain answer that count as progress: fewer may be dripped without end. */
const PROGRESS_BYTES = 1_024;

/** What a piece of an answer brought. */
export interface PieceResult {
  /** Whole events that went to the caller. */
  readonly events: number;
  /** Whether the answer came closer to its end; bytes of an event that is not whole do not. */
  readonly isProgress: boolean;
  /** Whether the caller can take more now. */
  readonly isCallerReady: boolean;
}

/** Builds one answer. */
export class ResponseBuilder {
  readonly #caller: Caller;

  readonly #isStream: boolean;

  #head: AnswerHead | undefined;

  #splitter = new EventSplitter();

  readonly #buffered = new GrowingBuffer();

  /** Bytes of a plain answer since its last progress; its first byte is progress. */
  #bytesSinceProgress = PROGRESS_BYTES;

  #isCommitted = false;

  #lastEventId: string | undefined;

  constructor(caller: Caller, isStream: boolean) {
    this.#caller = caller;
    this.#isStream = isStream;
  }

  /** Whether the caller has been given part of an answer. */
  get isCommitted(): boolean {
    return this.#isCommitted;
  }

  /** Id of the last event that the caller has. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** Whether an event was larger than any that an engine makes. */
  get isOversized(): boolean {
    return this.#splitter.isOversized;
  }

  /** Begins with the answer of one attempt; what was held of an earlier one is dropped. */
  begin(head: AnswerHead): void {
    this.#splitter = new EventSplitter();
    this.#buffered.take();
    this.#bytesSinceProgress = PROGRESS_BYTES;
    if (!this.#isCommitted) this.#head = head;
  }

  push(data: Buffer): PieceResult {
    return this.#isStream && this.#isSuccess ? this.#pushEvents(data) : this.#pushBody(data);
  }

  /** @returns false where the answer ended in the middle of an event */
  end(): boolean {
    if (this.#splitter.isMidEvent) return false;
    if (!this.#isCommitted) {
      const body = this.#buffered.take();
      const isLengthDeclared = this.#head?.framing === AnswerFraming.Told;
      this.#commit(isLengthDeclared ? { 'content-length': String(body.length) } : {});
      if (body.length > 0) this.#caller.writeData(body);
    }
    this.#caller.end();
    return true;
  }

  get #isSuccess(): boolean {
    const status = this.#head?.status ?? 0;
    return status >= 200 && status < 300;
  }

  #pushEvents(data: Buffer): PieceResult {
    const whole = this.#splitter.push(data);
    if (!whole) return { events: 0, isProgress: false, isCallerReady: true };
    this.#commit({});
    this.#lastEventId = whole.lastId ?? this.#lastEventId;
    const isCallerReady = this.#caller.writeData(whole.data);
    return { events: whole.count, isProgress: true, isCallerReady };
  }

  #pushBody(data: Buffer): PieceResult {
    const isProgress = this.#noteBytes(data.length);
    if (!this.#isCommitted) {
      this.#buffered.append(data);
      if (this.#buffered.sizeBytes <= BUFFERED_BYTES_MAX) {
        return { events: 0, isProgress, isCallerReady: true };
      }
      this.#commit({});
    }
    const ready = this.#buffered.sizeBytes > 0 ? this.#buffered.take() : data;
    return { events: 0, isProgress, isCallerReady: this.#caller.writeData(ready) };
  }

  #noteBytes(bytes: number): boolean {
    this.#bytesSinceProgress += bytes;
    if (this.#bytesSinceProgress < PROGRESS_BYTES) return false;
    this.#bytesSinceProgress = 0;
    return true;
  }

  #commit(extraHeaders: Readonly<Record<string, string>>): void {
    if (this.#isCommitted || !this.#head) return;
    this.#isCommitted = true;
    const { status, headers, framing } = this.#head;
    this.#caller.writeHead(status, { ...headers, ...extraHeaders }, framing);
  }
}
