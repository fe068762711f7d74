/** Interface to the upstream of a side process, which is its only caller. */
import type { HeaderMap } from '../model/request.js';
import type { NamedLimit } from '../model/namedLimit.js';
import type { CacheEvent, EngineReport } from '../model/report.js';
import type { Result } from '../outcome.js';

/** One call to an upstream. */
export interface EngineCall {
  readonly attemptId: string;
  readonly method: string;
  readonly path: string;
  readonly headers: HeaderMap;
  readonly body: Uint8Array;
  readonly priority: number;
}

export enum EngineFailureKind {
  /** It is certain that no byte of the request was sent. */
  NotSent = 'not-sent',
  /** The upstream answered that it does not accept the request (status 429 or 503). */
  Declined = 'declined',
  /** The connection broke after bytes of the request were sent. */
  Lost = 'lost',
}

export interface EngineFailure {
  readonly kind: EngineFailureKind;
  readonly detail: string;
}

/** Events of one call; the last event is `onEnd`, `onFailure` or `onFault`. */
export interface EngineEvents {
  /** What an answer says about the request limit of the upstream; called before all others. */
  readonly onRequestLimit?: (named: NamedLimit) => void;
  readonly onHead: (status: number, headers: HeaderMap) => void;
  readonly onData: (data: Uint8Array) => void;
  readonly onEnd: () => void;
  readonly onFailure: (failure: EngineFailure) => void;
  /**
   * An exception was thrown while the answer was handled, also by one of the other listeners, whose
   * event may have been the last one. The connection is closed.
   */
  readonly onFault: (error: Error) => void;
}

/** A call in progress. */
export interface EngineRun {
  /** Cancels the call; no further events follow. */
  cancel(): void;
  /** Pauses reading from the upstream until {@link resume}. */
  pause(): void;
  resume(): void;
}

/** An order to an engine. An engine that checks fencing numbers refuses lower ones. */
export interface EngineOrder {
  readonly orderId: string;
  readonly fencingNumber: number;
  readonly action: string;
  readonly params: Readonly<Record<string, unknown>>;
}

export enum EngineOrderErrorKind {
  /** The engine has received a higher fencing number before. */
  Fenced = 'fenced',
  Refused = 'refused',
  /** The answer was lost; the order may have taken effect. */
  Unknown = 'unknown',
}

export interface EngineOrderError {
  readonly kind: EngineOrderErrorKind;
  readonly detail: string;
}

/** An engine or plain service on this VM. */
export abstract class Engine {
  /** Starts one call. */
  abstract start(call: EngineCall, events: EngineEvents): EngineRun;

  /** Reads the load report; Err holds a description of the failure. */
  abstract readReport(): Promise<Result<EngineReport, string>>;

  /** Reads the cache events after a sequence number; the events' numbers show gaps. */
  abstract readCacheEvents(afterSequence: number): Promise<Result<readonly CacheEvent[], string>>;

  /** Sends an order; orders are idempotent by their id. */
  abstract order(
    order: EngineOrder,
  ): Promise<Result<Readonly<Record<string, unknown>>, EngineOrderError>>;
}
