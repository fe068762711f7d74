/** What the owner of attempts wants to hear. */
import type { Attempt } from './attempt.js';
import type { AttemptExit } from './concurrencyLimiter.js';

/** Hears what becomes of an attempt. */
export abstract class AttemptOwner {
  abstract onFirstByte(attempt: Attempt): void;

  /** @param gapMs time since the piece before */
  abstract onChunk(gapMs: number): void;

  /** Time after which a declined attempt is worth another try. */
  abstract chooseRetryAfterMs(): number;

  /** Called once, when the engine has nothing more to do with the attempt. */
  abstract onExit(attempt: Attempt, exit: AttemptExit): void;
}
