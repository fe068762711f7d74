/**
 * Which entries were free of faults, and when.
 *
 * A promise with a time bound holds for an entry in touch: for some seconds neither the entry, nor
 * its links, nor the store had a fault.
 */

interface Span {
  readonly fromMs: number;
  endMs: number;
}

/** Subject of faults that concern all entries. */
export const ALL_SUBJECTS = '*';

/** Spans of faults, by subject. */
export class FaultTimeline {
  readonly #stablePeriodMs: number;

  readonly #spans = new Map<string, Span[]>();

  /** @param stablePeriodMs time without a fault after which an entry is in touch */
  constructor(stablePeriodMs: number) {
    this.#stablePeriodMs = stablePeriodMs;
  }

  /** @returns a function that notes the end of the fault */
  beginFault(subject: string, nowMs: number): (endMs: number) => void {
    const span: Span = { fromMs: nowMs, endMs: Number.POSITIVE_INFINITY };
    this.#spans.set(subject, [...(this.#spans.get(subject) ?? []), span]);
    return (endMs) => {
      span.endMs = endMs;
    };
  }

  /** Whether an entry had no fault for the contact time before a moment, and has none at it. */
  isStable(entry: string, atMs: number): boolean {
    return this.isFaultFree(entry, atMs - this.#stablePeriodMs, atMs);
  }

  /** Whether a subject had no fault between two moments. */
  isFaultFree(subject: string, fromMs: number, endMs: number): boolean {
    return [subject, ALL_SUBJECTS]
      .flatMap((each) => this.#spans.get(each) ?? [])
      .every((span) => span.endMs < fromMs || span.fromMs > endMs);
  }
}
