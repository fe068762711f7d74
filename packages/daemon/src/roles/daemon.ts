/** Common interface of the daemon's roles: start and graceful shutdown. */
import type { Result } from '@radishbay/core/outcome.js';

/** Runs a process in one role. */
export abstract class Daemon {
  /** Starts all servers and background tasks; Err names the one that failed to start. */
  abstract start(): Promise<Result<void, string>>;

  /** Shuts down gracefully, answering requests in flight, and resolves when all has stopped. */
  abstract stop(): Promise<void>;

  /** Cuts all requests so that none looks answered, as the process exits after an exception. */
  abstract abort(): void;
}
