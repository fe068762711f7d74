/** How orders reach the engines of upstreams, as decisions see it. */
import type { Result } from '../outcome.js';
import type { EngineOrder, EngineOrderError } from '../ports/engine.js';

/** Gives orders to the side processes of upstreams. */
export abstract class EngineControl {
  /** Gives one order; always answers after a bounded time. */
  abstract order(
    upstream: string,
    order: EngineOrder,
  ): Promise<Result<Readonly<Record<string, unknown>>, EngineOrderError>>;
}
