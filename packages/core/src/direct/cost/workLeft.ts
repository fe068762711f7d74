/** Amounts of work at an upstream. */

/** Work at an upstream, in milliseconds of its engine's time. */
export interface WorkLeft {
  /** Prefill of requests without output. */
  readonly prefillMs: number;
  /** Decoding that is left. */
  readonly decodeMs: number;
  /** Time that the requests add to each step. */
  readonly stepMs: number;
}

export const NO_WORK: WorkLeft = { prefillMs: 0, decodeMs: 0, stepMs: 0 };

export function addWork(one: WorkLeft, other: WorkLeft): WorkLeft {
  return {
    prefillMs: one.prefillMs + other.prefillMs,
    decodeMs: one.decodeMs + other.decodeMs,
    stepMs: one.stepMs + other.stepMs,
  };
}
