import { Ok, type Result } from '@radishbay/core/outcome.js';
import type { CacheEvent, EngineReport } from '@radishbay/core/model/report.js';
import {
  Engine,
  type EngineCall,
  type EngineEvents,
  type EngineOrderError,
  type EngineRun,
} from '@radishbay/core/ports/engine.js';

const ANSWER_MS = 5;

const REPORT: EngineReport = {
  engineIncarnation: 'engine-1',
  running: 0,
  queued: 0,
  kvUsedShare: 0,
  isWarm: true,
  tokensPerSecond: 0,
  models: [],
};

/** An engine that answers at once and notes when each call began. */
export class RecordingEngine extends Engine {
  readonly startsMs: number[] = [];

  start(_call: EngineCall, events: EngineEvents): EngineRun {
    this.startsMs.push(Date.now());
    const timer = setTimeout(() => {
      events.onHead(200, {});
      events.onEnd();
    }, ANSWER_MS);
    return { cancel: () => clearTimeout(timer), pause: () => {}, resume: () => {} };
  }

  // eslint-disable-next-line @typescript-eslint/class-methods-use-this -- always the same
  readReport(): Promise<Result<EngineReport, string>> {
    return Promise.resolve(Ok(REPORT));
  }

  // eslint-disable-next-line @typescript-eslint/class-methods-use-this -- no cache here
  readCacheEvents(): Promise<Result<readonly CacheEvent[], string>> {
    return Promise.resolve(Ok([]));
  }

  // eslint-disable-next-line @typescript-eslint/class-methods-use-this -- takes every order
  order(): Promise<Result<Readonly<Record<string, unknown>>, EngineOrderError>> {
    return Promise.resolve(Ok({}));
  }
}
