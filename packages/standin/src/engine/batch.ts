/**
 * Simulates continuous batching. Each step generates one token for every running sequence, and its
 * duration grows with their number. Waiting sequences join between steps, by priority.
 */

import { Sequence, type SequenceEvents, type SequenceSpec } from './sequence.js';

/** Size limit and step durations of a batch. */
export interface BatchCosts {
  readonly maxRunning: number;
  /** Base duration of a step. */
  readonly stepMs: number;
  /** Time that each sequence adds to a step. */
  readonly stepPerSequenceMs: number;
  /** Time that each prefill token adds to a step. */
  readonly prefillPerTokenMs: number;
}

/** The batch of an engine; schedules its own steps while it has sequences that can advance. */
export class Batch {
  readonly #costs: BatchCosts;

  readonly #onFinished: (sequence: Sequence) => void;

  readonly #running = new Set<Sequence>();

  #waiting: Sequence[] = [];

  #timer: NodeJS.Timeout | undefined;

  /** Factor on the duration of each step; above 1 for cold engines and stragglers. */
  slowdown = 1;

  /** No step runs while this is set. */
  #isPaused = false;

  #tokenCount = 0;

  #lastStepMs = 0;

  /** @param onFinished called for each completed sequence, before its own `onEnd` */
  constructor(costs: BatchCosts, onFinished: (sequence: Sequence) => void) {
    this.#costs = costs;
    this.#onFinished = onFinished;
  }

  get runningCount(): number {
    return this.#running.size;
  }

  get waitingCount(): number {
    return this.#waiting.length;
  }

  /** Number of tokens generated so far. */
  get tokenCount(): number {
    return this.#tokenCount;
  }

  get lastStepMs(): number {
    return this.#lastStepMs;
  }

  submit(spec: SequenceSpec, events: SequenceEvents): Sequence {
    const sequence = new Sequence(spec, events);
    this.#waiting.push(sequence);
    this.#schedule();
    return sequence;
  }

  /** Removes a sequence; none of its callbacks is called afterwards. */
  cancel(sequence: Sequence): void {
    this.#running.delete(sequence);
    this.#waiting = this.#waiting.filter((other) => other !== sequence);
  }

  /** Continues a sequence that was paused because its reader was slow. */
  resume(sequence: Sequence): void {
    sequence.unblock();
    this.#schedule();
  }

  /** Fails all sequences, running and waiting. */
  failAll(detail: string): void {
    const all = [...this.#running, ...this.#waiting];
    this.#running.clear();
    this.#waiting = [];
    all.forEach((sequence) => sequence.events.onFailure(detail));
  }

  pause(): void {
    this.#isPaused = true;
    clearTimeout(this.#timer);
    this.#timer = undefined;
  }

  unpause(): void {
    this.#isPaused = false;
    this.#schedule();
  }

  #schedule(): void {
    if (this.#isPaused || this.#timer !== undefined) return;
    this.#admitWaiting();
    const ready = this.#listReady();
    if (ready.length === 0) return;
    this.#lastStepMs = this.#computeStepMs(ready);
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      this.#runStep(ready);
      this.#schedule();
    }, this.#lastStepMs);
  }

  #admitWaiting(): void {
    const freeSlots = this.#costs.maxRunning - this.#running.size;
    if (freeSlots <= 0 || this.#waiting.length === 0) return;
    this.#waiting.sort((left, right) => left.spec.priority - right.spec.priority);
    this.#waiting.splice(0, freeSlots).forEach((sequence) => this.#running.add(sequence));
  }

  #listReady(): Sequence[] {
    return [...this.#running].filter((sequence) => !sequence.isBlocked);
  }

  #computeStepMs(ready: readonly Sequence[]): number {
    const prefillTokens = ready.reduce((sum, sequence) => sum + sequence.prefillTokens, 0);
    const decodeMs = this.#costs.stepMs + this.#costs.stepPerSequenceMs * ready.length;
    return (decodeMs + this.#costs.prefillPerTokenMs * prefillTokens) * this.slowdown;
  }

  #runStep(ready: readonly Sequence[]): void {
    ready.forEach((sequence) => {
      if (this.#running.has(sequence)) this.#advance(sequence);
    });
  }

  #advance(sequence: Sequence): void {
    this.#tokenCount += 1;
    sequence.advance();
    if (!sequence.isFinished) return;
    this.#running.delete(sequence);
    this.#onFinished(sequence);
    sequence.events.onEnd();
  }
}
