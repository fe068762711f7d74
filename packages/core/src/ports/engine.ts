/** The upstream behind a side process, as decisions see it; the side process is its sole caller. */
import type { HeaderMap } from '../model/request.js';
import type { CacheEvent, EngineReport } from '../model/report.js';
import type { Result } from '../outcome.js';

/** One call of an upstream. */
export interface EngineCall {
  readonly attemptId: string;
  readonly method: string;
  readonly path: string;
  readonly headers: HeaderMap;
  readonly body: Uint8Array;
  readonly priority: number;
}

export enum EngineFailureKind {
  /** Proved: no byte of the request left for the upstream. */
  NotSent = 'not-sent',
  /** The upstream answered that it did not take the request on (status 429 or 503). */
  Declined = 'declined',
  /** The connection broke after something was sent. */
  Lost = 'lost',
}

export interface EngineFailure {
  readonly kind: EngineFailureKind;
  readonly detail: string;
}

/** What one call yields; exactly one of `onEnd` and `onFailure` comes last. */
export interface EngineEvents {
  readonly onHead: (status: number, headers: HeaderMap) => void;
  readonly onData: (data: Uint8Array) => void;
  readonly onEnd: () => void;
  readonly onFailure: (failure: EngineFailure) => void;
}

/** A call in progress. */
export interface EngineRun {
  /** Stops the call; no further events come. */
  cancel(): void;
  /** Stops reading from the upstream until {@link resume}. */
  pause(): void;
  resume(): void;
}

/** An order to an engine; an engine that checks fencing refuses older numbers. */
export interface EngineOrder {
  readonly orderId: string;
  readonly fencingNumber: number;
  readonly action: string;
  readonly params: Readonly<Record<string, unknown>>;
}

export enum EngineOrderErrorKind {
  /** The engine has seen a higher fencing number. */
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

  /** Reads the load report; Err names what went wrong. */
  abstract readReport(): Promise<Result<EngineReport, string>>;

  /** Reads cache events after a sequence number; a gap shows in the numbers. */
  abstract readCacheEvents(afterSequence: number): Promise<Result<readonly CacheEvent[], string>>;

  /** Gives an order; repeated orders with the same id have one effect. */
  abstract order(
    order: EngineOrder,
  ): Promise<Result<Readonly<Record<string, unknown>>, EngineOrderError>>;
}
