/** Callbacks of an attempt to its owner. */
import type { NamedLimit } from '../model/namedLimit.js';

import type { Attempt } from './attempt.js';
import type { AttemptExit } from './concurrencyLimiter.js';

/** Receives the events of attempts and chooses retry delays. */
export abstract class AttemptOwner {
  /** Called once, when the first response byte or the response head arrives. */
  abstract onFirstByte(attempt: Attempt): void;

  /** Called for each answer of the engine, before all other calls. */
  abstract onRequestLimit(attempt: Attempt, named: NamedLimit): void;

  /** @param gapMs time since the previous chunk of the response */
  abstract onChunk(gapMs: number): void;

  /** Delay, in milliseconds, after which the entry should retry a failed attempt. */
  abstract chooseRetryAfterMs(): number;

  /** Called when an exception was thrown while the response of the engine was handled. */
  abstract onFault(attempt: Attempt, error: Error): void;

  /** Called once, when the call to the engine has ended, failed or been cancelled. */
  abstract onExit(attempt: Attempt, exit: AttemptExit): void;
}
