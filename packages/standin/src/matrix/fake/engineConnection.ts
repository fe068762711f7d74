/**
 * An upstream as one side process calls it: what comes back waits while the process is frozen.
 *
 * When the process dies its connections break: a model engine cancels the work, a plain service
 * carries it out all the same.
 */
import {
  Engine,
  type EngineCall,
  type EngineEvents,
  type EngineOrder,
  type EngineOrderError,
  type EngineRun,
} from '@radishbay/core/ports/engine.js';
import type { CacheEvent, EngineReport } from '@radishbay/core/model/report.js';
import type { Result } from '@radishbay/core/outcome.js';

import type { SimProcess } from '../process/simProcess.js';

/** What the connection needs of the upstream. */
type Upstream = Engine & { readonly isPlain: boolean };

/** The side process's end of all its connections to the upstream. */
export class EngineConnection extends Engine {
  readonly #upstream: Upstream;

  readonly #owner: SimProcess;

  constructor(upstream: Upstream, owner: SimProcess) {
    super();
    this.#upstream = upstream;
    this.#owner = owner;
  }

  override start(call: EngineCall, events: EngineEvents): EngineRun {
    const owner = this.#owner;
    const run = owner.call(() =>
      this.#upstream.start(call, {
        onHead: (status, headers) => owner.post(() => events.onHead(status, headers)),
        onData: (data) => owner.post(() => events.onData(data)),
        onEnd: () => owner.post(() => events.onEnd()),
        onFailure: (failure) => owner.post(() => events.onFailure(failure)),
        onFault: (error) => owner.post(() => events.onFault(error)),
      }),
    );
    if (!this.#upstream.isPlain) owner.onDeath(() => run.cancel());
    return run;
  }

  override readReport(): Promise<Result<EngineReport, string>> {
    return this.#call(() => this.#upstream.readReport());
  }

  override readCacheEvents(after: number): Promise<Result<readonly CacheEvent[], string>> {
    return this.#call(() => this.#upstream.readCacheEvents(after));
  }

  override order(
    order: EngineOrder,
  ): Promise<Result<Readonly<Record<string, unknown>>, EngineOrderError>> {
    return this.#call(() => this.#upstream.order(order));
  }

  #call<T>(action: () => Promise<T>): Promise<T> {
    return new Promise((resolve) => {
      this.#owner.call(() => {
        action().then(
          (value) => this.#owner.post(() => resolve(value)),
          () => {},
        );
      });
    });
  }
}
