/**
 * Continuous batching: in each step every running sequence gains one token, and the time of a step
 * grows with their number. Sequences wait by priority, and join between steps.
 */

import { Sequence, type SequenceEvents, type SequenceSpec } from './sequence.js';

export interface BatchCosts {
  readonly maxRunning: number;
  readonly stepMs: number;
  readonly stepPerSequenceMs: number;
  readonly prefillPerTokenMs: number;
}

/** The batch of an engine; it steps by itself while it has work. */
export class Batch {
  readonly #costs: BatchCosts;

  readonly #onFinished: (sequence: Sequence) => void;

  readonly #running = new Set<Sequence>();

  #waiting: Sequence[] = [];

  #timer: NodeJS.Timeout | undefined;

  /** Steps take this many times as long; cold engines and stragglers are slow. */
  slowdown = 1;

  /** Holds all steps while set. */
  #isHeld = false;

  #tokenCount = 0;

  #lastStepMs = 0;

  /** @param onFinished hears of each sequence that is complete, before its own listener */
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

  /** Tokens generated so far. */
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

  /** Takes a sequence out; it hears nothing more. */
  cancel(sequence: Sequence): void {
    this.#running.delete(sequence);
    this.#waiting = this.#waiting.filter((other) => other !== sequence);
  }

  /** Lets a sequence whose reader was slow go on. */
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

  hold(): void {
    this.#isHeld = true;
    clearTimeout(this.#timer);
    this.#timer = undefined;
  }

  release(): void {
    this.#isHeld = false;
    this.#schedule();
  }

  #schedule(): void {
    if (this.#isHeld || this.#timer !== undefined) return;
    this.#admit();
    const ready = this.#listReady();
    if (ready.length === 0) return;
    this.#lastStepMs = this.#priceStep(ready);
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      this.#step(ready);
      this.#schedule();
    }, this.#lastStepMs);
  }

  #admit(): void {
    const room = this.#costs.maxRunning - this.#running.size;
    if (room <= 0 || this.#waiting.length === 0) return;
    this.#waiting.sort((left, right) => left.spec.priority - right.spec.priority);
    this.#waiting.splice(0, room).forEach((sequence) => this.#running.add(sequence));
  }

  #listReady(): Sequence[] {
    return [...this.#running].filter((sequence) => !sequence.isBlocked);
  }

  #priceStep(ready: readonly Sequence[]): number {
    const prefillTokens = ready.reduce((sum, sequence) => sum + sequence.prefillTokens, 0);
    const decodeMs = this.#costs.stepMs + this.#costs.stepPerSequenceMs * ready.length;
    return (decodeMs + this.#costs.prefillPerTokenMs * prefillTokens) * this.slowdown;
  }

  #step(ready: readonly Sequence[]): void {
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
