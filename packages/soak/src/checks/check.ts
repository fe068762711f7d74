/** Base of the invariant checks that are evaluated while a soak runs. */
import type {
  Change,
  ObservedResponse,
  ObservedExecution,
  SentRequest,
} from '../record/observation.js';
import type { FaultTimeline } from '../record/faultTimeline.js';

/** Limits that the checks apply, as set in the settings and the configuration of the soak. */
export interface Bounds {
  /** Time after which a leaving upstream must receive no more requests. */
  readonly drainMs: number;
  /** Time after which a closed domain must receive no more requests. */
  readonly evacuateMs: number;
  /** Time after which entries must keep a request limit that an upstream names. */
  readonly contactMs: number;
  /** Time within which entries must apply a new configuration. */
  readonly configMs: number;
  /** Requests per second for a cold upstream, before the factor and the addition. */
  readonly coldPerS: number;
  readonly coldFactor: number;
  readonly coldAddition: number;
  /** Retries allowed per request of the window, beyond the floor. */
  readonly retryShare: number;
  readonly retryWindowMs: number;
  /** Retries allowed per window regardless of the number of requests. */
  readonly retryFloor: number;
  /** Time within which a graceful shutdown must end. */
  readonly stopLimitMs: number;
  /** Time after the last fault within which service must recover. */
  readonly recoverMs: number;
}

export interface CheckContext {
  readonly bounds: Bounds;
  readonly timeline: FaultTimeline;
  /** Reports a violation of an invariant. */
  readonly onViolation: (invariant: string, detail: string, atMs: number) => void;
  readonly findRequest: (id: string) => SentRequest | undefined;
}

/** One invariant. It receives the events that concern it, in the order in which they occurred. */
export abstract class Check {
  protected readonly context: CheckContext;

  /** Statement of the invariant, as printed in reports. */
  abstract readonly invariant: string;

  constructor(context: CheckContext) {
    this.context = context;
  }

  onRequestSent?(request: SentRequest): void;

  onExecutionStart?(execution: ObservedExecution): void;

  /** @param isEarly whether the connection closed before the response was complete */
  onExecutionEnd?(id: string, isEarly: boolean, atMs: number): void;

  onResponse?(request: SentRequest, response: ObservedResponse): void;

  /** Called when a caller has closed its connection before the response was complete. */
  onCallerDisconnect?(request: SentRequest, atMs: number): void;

  onChange?(change: Change): void;

  /** Called once after all traffic has ended. */
  onFinish?(nowMs: number): void;

  protected report(detail: string, atMs: number): void {
    this.context.onViolation(this.invariant, detail, atMs);
  }
}
