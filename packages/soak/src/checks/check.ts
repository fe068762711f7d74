/** A promise that a soak checks while it runs. */
import type {
  Change,
  ObservedResponse,
  ObservedExecution,
  SentRequest,
} from '../record/observation.js';
import type { FaultTimeline } from '../record/faultTimeline.js';

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
  readonly faultTimeline: FaultTimeline;
  /** Reports a broken promise. */
  readonly onViolation: (invariant: string, detail: string, atMs: number) => void;
  readonly findRequest: (id: string) => SentRequest | undefined;
}

/** One promise; it hears the facts that concern it, in the order in which they came about. */
export abstract class Check {
  protected readonly context: CheckContext;

  /** Name of the promise, as reports print it. */
  abstract readonly invariant: string;

  constructor(context: CheckContext) {
    this.context = context;
  }

  onRequestSent?(request: SentRequest): void;

  onExecutionStart?(execution: ObservedExecution): void;

  /** @param isEarly whether the connection closed before the answer was whole */
  onExecutionEnd?(id: string, isEarly: boolean, atMs: number): void;

  onResponse?(request: SentRequest, response: ObservedResponse): void;

  /** Hears that a caller has closed its connection before the answer was whole. */
  onCallerDisconnect?(request: SentRequest, atMs: number): void;

  onChange?(change: Change): void;

  /** Looks once more when everything has ended. */
  onFinish?(nowMs: number): void;

  protected report(detail: string, atMs: number): void {
    this.context.onViolation(this.invariant, detail, atMs);
  }
}
