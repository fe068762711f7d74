/** What the roles of a daemon have in common: start, and a planned stop. */
import type { Result } from '@radishbay/core/outcome.js';

/** A process in one role. */
export abstract class Daemon {
  /** Starts everything; Err names what could not be started. */
  abstract start(): Promise<Result<void, string>>;

  /** A planned stop: resolves when every request in progress has its answer. */
  abstract stop(): Promise<void>;
}
