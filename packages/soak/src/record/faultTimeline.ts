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
export const EVERYBODY = '*';

/** Spans of faults, by subject. */
export class TouchBook {
  readonly #contactMs: number;

  readonly #spans = new Map<string, Span[]>();

  /** @param contactMs time without a fault after which an entry is in touch */
  constructor(contactMs: number) {
    this.#contactMs = contactMs;
  }

  /** @returns a function that notes the end of the fault */
  noteFault(subject: string, nowMs: number): (endMs: number) => void {
    const span: Span = { fromMs: nowMs, endMs: Number.POSITIVE_INFINITY };
    this.#spans.set(subject, [...(this.#spans.get(subject) ?? []), span]);
    return (endMs) => {
      span.endMs = endMs;
    };
  }

  /** Whether an entry had no fault for the contact time before a moment, and has none at it. */
  isInTouch(entry: string, atMs: number): boolean {
    return this.isCalm(entry, atMs - this.#contactMs, atMs);
  }

  /** Whether a subject had no fault between two moments. */
  isCalm(subject: string, fromMs: number, endMs: number): boolean {
    return [subject, EVERYBODY]
      .flatMap((each) => this.#spans.get(each) ?? [])
      .every((span) => span.endMs < fromMs || span.fromMs > endMs);
  }
}
