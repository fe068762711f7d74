/** Call of an upstream to which the test gives the response. */
import { Ok } from '../../src/outcome.js';
import { AnswerFraming } from '../../src/ports/caller.js';
import {
  CallFailureKind,
  type AnswerHead,
  type CallEvents,
  type CallInProgress,
  type UpstreamCall,
} from '../../src/ports/upstreamCaller.js';

/** Response head of a healthy upstream. */
export const HEAD: AnswerHead = {
  status: 200,
  headers: { seal: 'upstream-1' },
  isForThisRequest: true,
  isNotRun: false,
  isMisdirected: false,
  isGenuine: true,
  framing: AnswerFraming.Delimited,
  isLeaving: false,
  backoffMs: undefined,
  load: undefined,
  requestLimit: Ok(undefined),
};

/** Response head with which an upstream declines a request. */
export const NOT_RUN_HEAD: AnswerHead = { ...HEAD, status: 503, isNotRun: true };

/** One call made by the entry. */
export class FakeCall implements CallInProgress {
  readonly call: UpstreamCall;

  readonly #events: CallEvents;

  isCancelled = false;

  #hasHead = false;

  #hasEnded = false;

  constructor(call: UpstreamCall, events: CallEvents) {
    this.call = call;
    this.#events = events;
  }

  /** Whether the call has neither ended nor been cancelled. */
  get isOpen(): boolean {
    return !this.isCancelled && !this.#hasEnded;
  }

  readonly cancel = (): void => {
    this.isCancelled = true;
  };

  isPaused = false;

  readonly pause = (): void => {
    this.isPaused = true;
  };

  readonly resume = (): void => {
    this.isPaused = false;
  };

  /** Gives the head of the response, unless it has been given. */
  head(head: Partial<AnswerHead> = {}): this {
    if (this.isCancelled || this.#hasHead) return this;
    this.#hasHead = true;
    this.#events.onHead({ ...HEAD, ...head });
    return this;
  }

  /** Sends events with the given ids. */
  sendEvents(...ids: readonly number[]): this {
    return this.send(ids.map((id) => `id: ${id}\ndata: note\n\n`).join(''));
  }

  send(text: string): this {
    if (!this.isCancelled) this.#events.onData(Buffer.from(text));
    return this;
  }

  end(): void {
    if (this.isCancelled) return;
    this.#hasEnded = true;
    this.#events.onEnd();
  }

  fail(kind = CallFailureKind.Lost): void {
    if (this.isCancelled) return;
    this.#hasEnded = true;
    this.#events.onFailure(kind, 'the connection was reset');
  }

  /** Reports an exception, which can also follow the end of the response. */
  fault(error: Error): void {
    this.#hasEnded = true;
    this.#events.onFault(error);
  }
}
