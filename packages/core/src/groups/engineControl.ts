/** Port through which coordinators send orders to the engines of upstreams. */
import type { Result } from '../outcome.js';
import type { EngineOrder, EngineOrderError } from '../ports/engine.js';

/** Sends orders to the side processes of upstreams. */
export abstract class EngineControl {
  /** Sends one order; always resolves within a bounded time. */
  abstract order(
    upstream: string,
    order: EngineOrder,
  ): Promise<Result<Readonly<Record<string, unknown>>, EngineOrderError>>;
}
