import { mayRepeat, type SeenAnswer, type SentRequest } from '../record/observation.js';

import { Check } from './check.js';

/** Time by which an answer, or the end of abandoned work, may be late. */
const SLACK_MS = 500;

/** Answers of entries in touch come within their route's time; abandoned work ends at once. */
export class PromptEnd extends Check {
  override readonly promise = 'an end within the time of the route, and of the caller';

  readonly #running = new Map<string, number>();

  readonly #left = new Map<string, number>();

  override noteRun({ id }: { readonly id: string }): void {
    this.#running.set(id, (this.#running.get(id) ?? 0) + 1);
  }

  override noteRunEnd(id: string, _isEarly: boolean, atMs: number): void {
    const left = (this.#running.get(id) ?? 1) - 1;
    this.#running.set(id, left);
    const leftAtMs = this.#left.get(id);
    const request = this.context.findRequest(id);
    if (left > 0 || leftAtMs === undefined || !request) return;
    const lateMs = Math.round(atMs - leftAtMs);
    if (lateMs <= SLACK_MS || !this.context.touch.isInTouch(request.entry, atMs)) return;
    if (!mayRepeat(request.kind) || !this.context.touch.isInTouch(request.entry, leftAtMs)) return;
    this.report(`request ${id} is worked on ${lateMs} ms after its caller has left`, atMs);
  }

  override noteLeft({ id }: SentRequest, atMs: number): void {
    this.#left.set(id, atMs);
  }

  override noteAnswer({ id, entry, sentAtMs, timeoutMs }: SentRequest, answer: SeenAnswer): void {
    const lateMs = Math.round(answer.endedAtMs - sentAtMs - timeoutMs);
    if (lateMs <= SLACK_MS || !this.context.touch.isInTouch(entry, sentAtMs)) return;
    if (!this.context.touch.isCalm(entry, sentAtMs, answer.endedAtMs)) return;
    this.report(
      `request ${id} at ${entry} ends ${lateMs} ms after its route's time`,
      answer.endedAtMs,
    );
  }
}
