/**
 * How the rests of a pool's streams have ended, which are requested after their first responses.
 */
import { AnswerFraming } from '../ports/caller.js';

/** Time for which a response that was cut off makes other ends doubtful, in milliseconds. */
const CUT_WINDOW_MS = 30_000;

export class RestHistory {
  #framing = AnswerFraming.Delimited;

  #cutAtMs = Number.NEGATIVE_INFINITY;

  /** Whether the last rest was unframed. One without events would show nothing then. */
  get areUnframed(): boolean {
    return this.#framing === AnswerFraming.UntilClose;
  }

  /** Whether the connection of a response lately ended regularly before the end of the stream. */
  hasCuts(nowMs: number): boolean {
    return nowMs - this.#cutAtMs < CUT_WINDOW_MS;
  }

  noteEnd(framing: AnswerFraming): void {
    this.#framing = framing;
  }

  noteCut(nowMs: number): void {
    this.#cutAtMs = nowMs;
  }
}
