/** A promise that a soak checks while it runs. */
import type { Change, SeenAnswer, SeenRun, SentRequest } from '../record/observation.js';
import type { TouchBook } from '../record/faultTimeline.js';

/** Bounds of the promises, as the settings and the configuration of the soak state them. */
export interface Bounds {
  readonly drainMs: number;
  readonly evacuateMs: number;
  readonly configMs: number;
  readonly coldPerS: number;
  readonly coldFactor: number;
  readonly coldAddition: number;
  readonly retryShare: number;
  readonly retryWindowMs: number;
  readonly retryFloor: number;
  readonly stopLimitMs: number;
  readonly recoverMs: number;
}

export interface CheckContext {
  readonly bounds: Bounds;
  readonly touch: TouchBook;
  /** Reports a broken promise. */
  readonly onBroken: (promise: string, detail: string, atMs: number) => void;
  readonly findRequest: (id: string) => SentRequest | undefined;
}

/** One promise; it hears the facts that concern it, in the order in which they came about. */
export abstract class Check {
  protected readonly context: CheckContext;

  /** Name of the promise, as reports print it. */
  abstract readonly promise: string;

  constructor(context: CheckContext) {
    this.context = context;
  }

  noteSent?(request: SentRequest): void;

  noteRun?(run: SeenRun): void;

  /** @param isEarly whether the connection closed before the answer was whole */
  noteRunEnd?(id: string, isEarly: boolean, atMs: number): void;

  noteAnswer?(request: SentRequest, answer: SeenAnswer): void;

  /** Hears that a caller has closed its connection before the answer was whole. */
  noteLeft?(request: SentRequest, atMs: number): void;

  noteChange?(change: Change): void;

  /** Looks once more when everything has ended. */
  finish?(nowMs: number): void;

  protected report(detail: string, atMs: number): void {
    this.context.onBroken(this.promise, detail, atMs);
  }
}
