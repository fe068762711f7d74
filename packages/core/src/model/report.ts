/** What an upstream reports: its load, its warmth, and changes of its prefix cache. */

/** Whether an upstream is warmed up enough for its full load. */
export enum Warmth {
  Cold = 'cold',
  Warming = 'warming',
  Warm = 'warm',
}

/** Load of an engine as reported by the engine itself; it lags. */
export interface EngineReport {
  /** Changes with every start of the engine process. */
  readonly engineIncarnation: string;
  readonly running: number;
  readonly queued: number;
  /** Share of the KV cache in use, 0 to 1. */
  readonly kvUsedShare: number;
  /** Whether the engine reports itself as warm; this may be wrong. */
  readonly isWarm: boolean;
  readonly tokensPerSecond: number;
  /** Models that the engine has loaded. */
  readonly models: readonly string[];
}

/** One change of the prefix cache; the sequence numbers show gaps. */
export interface CacheEvent {
  readonly sequence: number;
  /** True if the blocks were stored, false if they were removed. */
  readonly isStored: boolean;
  /** Hashes of the prompt's leading blocks. */
  readonly blockHashes: readonly string[];
}

/** State of one upstream, as its side process reports it to entries. */
export interface SideReport {
  readonly upstream: string;
  readonly engineIncarnation: string;
  /** Attempts admitted and not yet ended, from all entries together. */
  readonly inFlight: number;
  /** Current in-flight limit of the upstream's gate. */
  readonly limit: number;
  readonly warmth: Warmth;
  readonly isLeaving: boolean;
  readonly isDrained: boolean;
  readonly kvUsedShare: number;
  readonly queued: number;
  readonly tokensPerSecond: number;
  /** Moving average of the time to the first byte of an answer. */
  readonly firstTokenMs: number;
  /** Moving average of the duration of an attempt. */
  readonly serviceMs: number;
  /** Measured duration of a step, for ranks of a group. */
  readonly stepMs: number;
  readonly models: readonly string[];
}
