/** Model of an engine with a fixed number of slots, whose passes all take the same time. */
import type { FakeCall } from '../fakeCall.js';

export const SLOTS = 8;
export const FIRST_EVENT_MS = 80;
export const EVENT_MS = 100;

/** Events of a usual answer, and the declared tokens of each. */
export const MEAN_EVENTS = 10;
export const TOKENS_PER_EVENT = 14;

/** An engine that works on as many requests as it has slots; others wait for their turn. */
export class SlotEngine {
  readonly #waiting: FakeCall[] = [];

  #running = 0;

  serve(call: FakeCall): void {
    if (this.#running >= SLOTS) {
      this.#waiting.push(call);
      return;
    }
    this.#running += 1;
    const { answerTokensMax = MEAN_EVENTS * TOKENS_PER_EVENT } = call.call.request.size ?? {};
    const events = Math.round(answerTokensMax / TOKENS_PER_EVENT);
    setTimeout(() => call.head().sendEvents(1), FIRST_EVENT_MS);
    for (let at = 1; at < events; at += 1) {
      setTimeout(() => call.sendEvents(at + 1), FIRST_EVENT_MS + at * EVENT_MS);
    }
    const endMs = FIRST_EVENT_MS + (events - 1) * EVENT_MS + 1;
    setTimeout(() => this.#finish(call), endMs);
  }

  #finish(call: FakeCall): void {
    call.end();
    this.#running -= 1;
    const next = this.#waiting.shift();
    if (next) this.serve(next);
  }
}
