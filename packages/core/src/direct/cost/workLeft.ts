/** Amounts of work at an upstream, and how they age. */

/** Work at an upstream, in milliseconds of its engine's time. */
export interface WorkLeft {
  /** Prefill of requests without output that is likely to be in the next pass. */
  readonly prefillMs: number;
  /** Decoding that is left. */
  readonly decodeMs: number;
  /** Time that the requests add to each step. */
  readonly stepMs: number;
}

/** Time, and the pace of a pool. */
export interface PassClock {
  readonly nowMs: number;
  /** Time of a pass; undefined before the first one. */
  readonly passMs: number | undefined;
  readonly stepsPerPass: number;
}

export const NO_WORK: WorkLeft = { prefillMs: 0, decodeMs: 0, stepMs: 0 };

export function addWork(one: WorkLeft, other: WorkLeft): WorkLeft {
  return {
    prefillMs: one.prefillMs + other.prefillMs,
    decodeMs: one.decodeMs + other.decodeMs,
    stepMs: one.stepMs + other.stepMs,
  };
}

/**
 * Prefill that is still to be done. A prompt is read in the pass that begins next, so a request
 * that is sent a pass later no longer meets it; its first output arrives only a pass after that.
 */
export function fadePrefill(prefillMs: number, atMs: number, clock: PassClock): number {
  if (clock.passMs === undefined) return prefillMs;
  return prefillMs * Math.max(0, 1 - (clock.nowMs - atMs) / clock.passMs);
}

/** Decoding that is left after each step has taken its part. */
export function ageDecoding(
  { decodeMs, stepMs }: WorkLeft,
  atMs: number,
  clock: PassClock,
): number {
  if (clock.passMs === undefined) return decodeMs;
  const steps = (Math.max(0, clock.nowMs - atMs) / clock.passMs) * clock.stepsPerPass;
  return Math.max(0, decodeMs - steps * stepMs);
}
