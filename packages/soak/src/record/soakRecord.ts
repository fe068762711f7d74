/** Hears all that a soak sees, and passes it on to the checks. */
import type { Check, CheckContext } from '../checks/check.js';

import type { Change, SeenAnswer, SeenRun, SentRequest } from './observation.js';

/** A promise that was found broken. */
export interface Break {
  readonly promise: string;
  readonly detail: string;
  /** From the start of the run. */
  readonly atMs: number;
}

/** Facts of one run. */
export class SoakRecord {
  readonly #startedAtMs = performance.now();

  readonly #requests = new Map<string, SentRequest>();

  readonly #checks: Check[] = [];

  readonly breaks: Break[] = [];

  /** Answers by status; 0 where a connection broke. */
  readonly outcomes = new Map<number, number>();

  /** Adds the checks that a context is made for. */
  watch(
    create: (context: Pick<CheckContext, 'onBroken' | 'findRequest'>) => readonly Check[],
  ): void {
    this.#checks.push(
      ...create({
        onBroken: (promise, detail, atMs) => this.noteBreak(promise, detail, atMs),
        findRequest: (id) => this.#requests.get(id),
      }),
    );
  }

  noteSent(request: SentRequest): void {
    this.#requests.set(request.id, request);
    this.#checks.forEach((check) => check.noteSent?.(request));
  }

  noteRun(run: SeenRun): void {
    this.#checks.forEach((check) => check.noteRun?.(run));
  }

  noteRunEnd(id: string, isEarly: boolean): void {
    this.#checks.forEach((check) => check.noteRunEnd?.(id, isEarly, performance.now()));
  }

  noteAnswer(request: SentRequest, answer: SeenAnswer): void {
    this.outcomes.set(answer.status, (this.outcomes.get(answer.status) ?? 0) + 1);
    this.#checks.forEach((check) => check.noteAnswer?.(request, answer));
  }

  noteLeft(request: SentRequest): void {
    this.#checks.forEach((check) => check.noteLeft?.(request, performance.now()));
  }

  noteChange(change: Change): void {
    this.#checks.forEach((check) => check.noteChange?.(change));
  }

  finish(): void {
    this.#checks.forEach((check) => check.finish?.(performance.now()));
  }

  /** Time since the start of the run. */
  get elapsedMs(): number {
    return performance.now() - this.#startedAtMs;
  }

  /** Notes a promise that was found broken, now or at an earlier moment. */
  noteBreak(promise: string, detail: string, atMs = performance.now()): void {
    this.breaks.push({ promise, detail, atMs: Math.round(atMs - this.#startedAtMs) });
  }
}
