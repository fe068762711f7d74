/**
 * Records when faults affected each entry and upstream.
 *
 * An invariant with a time limit applies only to a stable entry: one for which neither the entry,
 * nor its links, nor the store had a fault for some seconds.
 */

interface Span {
  readonly fromMs: number;
  endMs: number;
}

/** Subject of faults that affect all entries and upstreams. */
export const ALL_SUBJECTS = '*';

/** Time spans of faults, by subject. */
export class FaultTimeline {
  readonly #stablePeriodMs: number;

  readonly #spans = new Map<string, Span[]>();

  /** @param stablePeriodMs time without a fault after which an entry is stable */
  constructor(stablePeriodMs: number) {
    this.#stablePeriodMs = stablePeriodMs;
  }

  /** @returns a function that records the end of the fault */
  beginFault(subject: string, nowMs: number): (endMs: number) => void {
    const span: Span = { fromMs: nowMs, endMs: Number.POSITIVE_INFINITY };
    this.#spans.set(subject, [...(this.#spans.get(subject) ?? []), span]);
    return (endMs) => {
      span.endMs = endMs;
    };
  }

  /** Whether an entry had no fault during the stable period up to and including a time. */
  isStable(entry: string, atMs: number): boolean {
    return this.isFaultFree(entry, atMs - this.#stablePeriodMs, atMs);
  }

  /** Whether a subject had no fault between two times. */
  isFaultFree(subject: string, fromMs: number, endMs: number): boolean {
    return [subject, ALL_SUBJECTS]
      .flatMap((each) => this.#spans.get(each) ?? [])
      .every((span) => span.endMs < fromMs || span.fromMs > endMs);
  }
}
