/** Keeps one request from crashing upstreams, and reports what became of its prompt parts. */
import { refuseNotRun } from '../../entry/refusal.js';
import { RefusalReason, type Refusal } from '../../model/reason.js';
import type { DirectAttempt } from '../directAttempt.js';
import type { DirectContext } from '../directContext.js';

/**
 * Pieces of output after which an answer has passed its beginning: a crash could still cut it off
 * after the first one.
 */
const SERVED_PIECES = 2;

export interface PromptGuardOptions {
  readonly context: DirectContext;
  readonly pool: string;
  readonly request: { readonly id: string; readonly sharedPromptParts: readonly string[] };
}

/** Guard of one request. */
export class PromptGuard {
  readonly #options: PromptGuardOptions;

  #pieces = 0;

  constructor(options: PromptGuardOptions) {
    this.#options = options;
    options.context.board.quarantine.noteArrival(options.pool, this.#parts);
  }

  get #parts(): readonly string[] {
    return this.#options.request.sharedPromptParts;
  }

  /** @returns the refusal of a request that must not be sent now; undefined where it may be */
  check(nowMs: number): Refusal | undefined {
    const { context, pool, request } = this.#options;
    const blocked = context.board.quarantine.check(pool, this.#parts, request.id, nowMs);
    if (!blocked) return undefined;
    const detail = `prompt part ${blocked.hold.part} is held back, as it may crash upstreams`;
    return refuseNotRun(RefusalReason.PromptQuarantined, blocked.untilMs - nowMs, detail);
  }

  noteSent(): void {
    this.#pieces = 0;
  }

  /** Records a piece of a successful response. */
  notePiece(): void {
    this.#pieces += 1;
    if (this.#pieces === SERVED_PIECES) this.noteServed();
  }

  /** Records that a successful response is complete, or has passed its beginning. */
  noteServed(): void {
    const { context, pool } = this.#options;
    if (this.#parts.length > 0) context.board.quarantine.noteServed(pool, this.#parts);
  }

  /** Records that this entry cancels an attempt. */
  noteAbandoned(attempt: DirectAttempt): void {
    if (attempt.hasOutput || this.#parts.length === 0) return;
    this.#options.context.crashes.noteAbandoned(this.#describe(attempt));
  }

  /**
   * Records that the connection of an attempt broke.
   *
   * @returns resolves once the cause is known; undefined where the request cannot be the cause
   */
  noteLost(attempt: DirectAttempt): Promise<void> | undefined {
    if (attempt.hasOutput || this.#parts.length === 0) return undefined;
    return this.#options.context.crashes.noteLost(this.#describe(attempt));
  }

  /** Ends the trial that the request may be. */
  release(): void {
    const { context, pool, request } = this.#options;
    if (this.#parts.length > 0) context.board.quarantine.endTrial(pool, request.id);
  }

  #describe({ upstream, hasHead }: DirectAttempt) {
    return { upstream, parts: this.#parts, hasHead };
  }
}
