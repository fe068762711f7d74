/**
 * Combines the responses of a request's attempts into the one response that the caller receives.
 *
 * A plain response is buffered until it is complete, so that one that breaks off can be replaced; a
 * large one is forwarded once the buffer limit is exceeded, or memory is short. Of a stream,
 * complete events are forwarded as they arrive, under the head of the first upstream that sent one.
 *
 * A stream is delimited for the caller even if the upstream does not do so: otherwise the events
 * forwarded before the end of this process would look like all of them. It is ended only once its
 * end is proved: by the framing of the upstream's response, or by further attempts. A plain
 * response without framing is forwarded without one, since it may have been truncated.
 */
import { AnswerFraming, type Caller } from '../ports/caller.js';
import type { AnswerHead } from '../ports/upstreamCaller.js';

import { EventSplitter } from './eventSplitter.js';
import { GrowingBuffer } from './growingBuffer.js';
import { ResponseEnd } from './responseEnd.js';
import type { RestHistory } from './restHistory.js';
import { StreamProgress } from './streamProgress.js';

/** Bytes of a plain response that are buffered at most. */
const BUFFERED_BYTES_MAX = 256 * 1024;

/**
 * Bytes of a plain response that count as progress, as an upstream could send fewer at a time
 * forever.
 */
const PROGRESS_BYTES = 1_024;

/** Result of handling a piece of a response. */
export interface PieceResult {
  /** Number of complete events that were forwarded to the caller. */
  readonly events: number;
  /** Whether the response made progress; bytes of an incomplete event do not count. */
  readonly isProgress: boolean;
  /** Whether the caller can take more data now. */
  readonly isCallerReady: boolean;
}

const EVENT_STREAM_TYPE = 'text/event-stream';

/** Reads the media type of a response, without its parameters; undefined if it names none. */
function readMediaType({ headers }: AnswerHead): string | undefined {
  return headers['content-type']?.split(';', 1)[0]?.trim().toLowerCase();
}

export interface ResponseBuilderOptions {
  readonly caller: Caller;
  readonly isStream: boolean;
  /** How the rests of streams of the request's pool have ended. */
  readonly rests: RestHistory;
  /** Id of the event after which the caller resumes a stream; undefined where it resumes none. */
  readonly resumeAfterId?: string | undefined;
}

/** Builds the response to one request. */
export class ResponseBuilder {
  readonly #caller: Caller;

  readonly #isStream: boolean;

  #head: AnswerHead | undefined;

  /** Framing of the current attempt's response. */
  #framing = AnswerFraming.Delimited;

  #splitter = new EventSplitter();

  readonly #buffered = new GrowingBuffer();

  /**
   * Bytes of a plain response since the last progress; starts so that the first byte counts as
   * progress.
   */
  #bytesSinceProgress = PROGRESS_BYTES;

  #isCommitted = false;

  #isEnded = false;

  /** Memory in use, as the caller has been told. */
  #heldBytes = 0;

  readonly #progress: StreamProgress;

  #isMisplaced = false;

  constructor({ caller, isStream, rests, resumeAfterId }: ResponseBuilderOptions) {
    this.#caller = caller;
    this.#isStream = isStream;
    this.#progress = new StreamProgress(rests, resumeAfterId);
  }

  /** Whether part of the response has been sent to the caller. */
  get isCommitted(): boolean {
    return this.#isCommitted;
  }

  /** Whether the whole response has been sent to the caller. */
  get isEnded(): boolean {
    return this.#isEnded;
  }

  /** Whether the upstream's response is a success. */
  get isSuccess(): boolean {
    const status = this.#head?.status ?? 0;
    return status >= 200 && status < 300;
  }

  /** Id of the last event that was sent to the caller. */
  get lastEventId(): string | undefined {
    return this.#progress.lastEventId;
  }

  /** See {@link StreamProgress.isEndClaimed}. */
  get isEndClaimed(): boolean {
    return this.#progress.isEndClaimed;
  }

  /** See {@link StreamProgress.endedUpstreams}. */
  get endedUpstreams(): readonly string[] {
    return this.#progress.endedUpstreams;
  }

  /** Whether an event exceeded the size limit, which no engine's events reach. */
  get isOversized(): boolean {
    return this.#splitter.isOversized;
  }

  /** Whether the attempt resumed the stream elsewhere than after the last event. */
  get isMisplaced(): boolean {
    return this.#isMisplaced;
  }

  /** Assesses the end of an attempt's response, all of which has been received. */
  assessEnd(upstream: string): ResponseEnd {
    if (this.#splitter.isMidEvent) {
      if (this.#framing === AnswerFraming.UntilClose) this.#progress.noteCut();
      return ResponseEnd.WithinEvent;
    }
    if (!this.#isStream || !this.isSuccess) return ResponseEnd.Complete;
    return this.#progress.assessEnd(upstream, this.#framing);
  }

  /** See {@link StreamProgress.prepareAttempt}. */
  prepareAttempt(upstream: string): string | undefined {
    this.#splitter = new EventSplitter();
    return this.#progress.prepareAttempt(upstream);
  }

  /** Records that an attempt has failed; part of a further event shows that there is one. */
  noteFailedAttempt(): void {
    if (this.#splitter.isMidEvent) this.#progress.noteIncompleteEvent();
  }

  /** Whether the response of an attempt can continue what has been sent to the caller. */
  canContinueWith(head: AnswerHead): boolean {
    if (!this.#isCommitted || !this.#head) return true;
    const mediaType = readMediaType(head);
    const isSameKind =
      mediaType === undefined ||
      mediaType === EVENT_STREAM_TYPE ||
      mediaType === readMediaType(this.#head);
    return head.status === this.#head.status && isSameKind;
  }

  /** Starts the response of an attempt; the buffered data of an earlier one is discarded. */
  begin(head: AnswerHead): void {
    this.#splitter = new EventSplitter();
    this.#buffered.take();
    this.#bytesSinceProgress = PROGRESS_BYTES;
    this.#framing = head.framing;
    this.#isMisplaced = false;
    this.#holdMemory(0, false);
    if (!this.#isCommitted) this.#head = head;
  }

  push(data: Buffer): PieceResult {
    return this.#isStream && this.isSuccess ? this.#pushEvents(data) : this.#pushBody(data);
  }

  /** Ends a complete response, unless sending the rest of it ends the request. */
  end(isOver: () => boolean): void {
    if (!this.#isCommitted) {
      const body = this.#buffered.take();
      const isLengthDeclared = this.#head?.framing === AnswerFraming.Delimited;
      this.#commit(isLengthDeclared ? { 'content-length': String(body.length) } : {});
      if (body.length > 0) this.#caller.writeData(body);
      this.#holdMemory(0, false);
    }
    if (isOver()) return;
    this.#isEnded = true;
    this.#caller.end();
  }

  #pushEvents(data: Buffer): PieceResult {
    const received = this.#splitter.push(data);
    // Without room the request has been ended, and its caller answered.
    const hasRoom = this.#holdMemory(this.#splitter.pendingBytes, true);
    if (!received || !hasRoom) return { events: 0, isProgress: false, isCallerReady: true };
    const { events, isMisplaced } = this.#progress.accept(received);
    this.#isMisplaced = isMisplaced;
    if (!events) return { events: 0, isProgress: !isMisplaced, isCallerReady: true };
    this.#commit({});
    const isCallerReady = this.#caller.writeData(events.data);
    return { events: events.count, isProgress: true, isCallerReady };
  }

  #pushBody(data: Buffer): PieceResult {
    const isProgress = this.#noteBytes(data.length);
    if (!this.#isCommitted) {
      this.#buffered.append(data);
      const hasRoom = this.#holdMemory(this.#buffered.capacityBytes, false);
      if (hasRoom && this.#buffered.sizeBytes <= BUFFERED_BYTES_MAX) {
        return { events: 0, isProgress, isCallerReady: true };
      }
      this.#commit({});
    }
    const ready = this.#buffered.sizeBytes > 0 ? this.#buffered.take() : data;
    const isCallerReady = this.#caller.writeData(ready);
    this.#holdMemory(0, false);
    return { events: 0, isProgress, isCallerReady };
  }

  #holdMemory(bytes: number, isNeeded: boolean): boolean {
    if (bytes === this.#heldBytes) return true;
    this.#heldBytes = bytes;
    return this.#caller.holdMemory(bytes, isNeeded);
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
    const { status, headers } = this.#head;
    const isEvents = this.#isStream && this.isSuccess;
    const framing = isEvents ? AnswerFraming.Delimited : this.#head.framing;
    this.#caller.writeHead(status, { ...headers, ...extraHeaders }, framing);
  }
}
