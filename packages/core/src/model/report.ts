/** What an upstream says of itself: load, warmth, and changes of its prefix cache. */

/** Whether an upstream bears its full load. */
export enum Warmth {
  Cold = 'cold',
  Warming = 'warming',
  Warm = 'warm',
}

/** Load of an engine as the engine itself reports it; it lags behind. */
export interface EngineReport {
  /** Changes whenever the engine process starts anew. */
  readonly engineIncarnation: string;
  readonly running: number;
  readonly queued: number;
  /** Share of the KV cache in use, 0 to 1. */
  readonly kvUsedShare: number;
  /** Whether the engine calls itself warm; it may be wrong. */
  readonly isWarm: boolean;
  readonly tokensPerSecond: number;
  /** Models the engine has loaded. */
  readonly models: readonly string[];
}

/** One change of the prefix cache; numbered, so that gaps are seen. */
export interface CacheEvent {
  readonly sequence: number;
  readonly isStored: boolean;
  /** Hashes of the prompt's leading blocks. */
  readonly blockHashes: readonly string[];
}

/** State of one upstream as its side process reports it to entries. */
export interface SideReport {
  readonly upstream: string;
  readonly engineIncarnation: string;
  /** Attempts admitted and not yet ended, from all entries together. */
  readonly inFlight: number;
  /** Attempts that the gate lets in at once now. */
  readonly limit: number;
  readonly warmth: Warmth;
  readonly isLeaving: boolean;
  readonly isDrained: boolean;
  readonly kvUsedShare: number;
  readonly queued: number;
  readonly tokensPerSecond: number;
  /** Smoothed time to the first byte of an answer. */
  readonly firstTokenMs: number;
  /** Smoothed time a whole attempt takes. */
  readonly serviceMs: number;
  /** Measured time of a step, for ranks of a group. */
  readonly stepMs: number;
  readonly models: readonly string[];
}
