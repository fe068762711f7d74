/** Options of a model engine; step durations are in milliseconds of the runtime's clock. */
import { readNumber, type JsonObject } from '../http/json.js';

import type { BatchCosts } from './batch.js';
import type { PrefixCacheOptions } from './prefixCache.js';

export interface EngineOptions {
  readonly costs: BatchCosts;
  readonly cache: PrefixCacheOptions;
  /** Number of concurrent requests, running and waiting, above which a cold engine crashes. */
  readonly coldLimit: number;
  /** Number of completed requests after which a cold engine is warm. */
  readonly warmAfter: number;
  /** Factor on the duration of each step while the engine is cold. */
  readonly coldSlowdown: number;
  readonly isWarmAtStart: boolean;
  /** Time from a crash or an injected restart until requests are accepted again. */
  readonly restartMs: number;
  /** Age of the load report that readers get. */
  readonly reportLagMs: number;
  /** Whether orders below the highest fencing number seen are refused. */
  readonly isFencing: boolean;
  readonly models: readonly string[];
  /** Capacity of the KV cache in tokens. */
  readonly kvTokens: number;
}

function readModels(options: JsonObject): readonly string[] {
  if (!Array.isArray(options.models)) return ['default'];
  return options.models.filter((model) => typeof model === 'string');
}

/** Reads the options of an engine; missing or malformed ones get a default. */
export function parseEngineOptions(options: JsonObject): EngineOptions {
  return {
    costs: {
      maxRunning: readNumber(options, 'maxRunning', 64),
      stepMs: readNumber(options, 'stepMs', 4),
      stepPerSequenceMs: readNumber(options, 'stepPerSequenceMs', 0.1),
      prefillPerTokenMs: readNumber(options, 'prefillPerTokenMs', 0.02),
    },
    cache: {
      capacityBlocks: readNumber(options, 'cacheBlocks', 1_000),
      eventLagMs: readNumber(options, 'cacheEventLagMs', 100),
      gapEvery: readNumber(options, 'cacheGapEvery', 0),
    },
    coldLimit: readNumber(options, 'coldLimit', 4),
    warmAfter: readNumber(options, 'warmAfter', 8),
    coldSlowdown: readNumber(options, 'coldSlowdown', 3),
    isWarmAtStart: options.isWarmAtStart === true,
    restartMs: readNumber(options, 'restartMs', 500),
    reportLagMs: readNumber(options, 'reportLagMs', 100),
    isFencing: options.isFencing === true,
    models: readModels(options),
    kvTokens: readNumber(options, 'kvTokens', 1_000_000),
  };
}
