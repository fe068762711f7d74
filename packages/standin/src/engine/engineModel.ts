/**
 * Simulates a model engine without its HTTP interface: batching, warm-up, prefix cache, load report
 * and restarts.
 *
 * A cold engine is slow and accepts only `coldLimit` concurrent requests. One more crashes it: all
 * of its requests fail, and it restarts cold after `restartMs`.
 */
import { randomUUID } from 'node:crypto';

import type { CacheEvent, EngineReport } from '@radishbay/core/model/report.js';
import { Err, Ok, type Result } from '@radishbay/core/outcome.js';

import { Batch } from './batch.js';
import { EngineInventory } from './engineInventory.js';
import type { EngineOptions } from './engineOptions.js';
import { EngineRecord } from './engineRecord.js';
import { DelayedValue } from './delayedValue.js';
import { PrefixCache } from './prefixCache.js';
import type { Sequence, SequenceEvents } from './sequence.js';

const REPORT_INTERVAL_MS = 50;
const MS_PER_SECOND = 1_000;

/** One inference request as the HTTP server submits it. */
export interface EngineWork {
  readonly attemptId: string;
  /** Requests with a lower number run first. */
  readonly priority: number;
  readonly promptTokens: number;
  /** Hashes of the prompt's leading blocks. */
  readonly prefixHashes: readonly string[];
  /** Index of the first token to generate; the caller already has the ones before it. */
  readonly firstToken: number;
  readonly maxTokens: number;
}

/** Why a request was not accepted. */
export enum SubmitError {
  /** The engine is restarting; the request was not executed. */
  Down = 'down',
  /** The request exceeded the limit of the cold engine, which crashed and failed all requests. */
  Crashed = 'fell-over',
}

/** Load report with the fields that model engines add. */
export interface ModelReport extends EngineReport {
  /** Duration of the last step. */
  readonly stepMs: number;
  readonly adapters: readonly string[];
  readonly role: string;
}

/** Counts the tokens of a request that are in the KV cache. */
function countTokens(sequence: Sequence, work: EngineWork): number {
  return work.promptTokens + sequence.tokenCount;
}

/** A simulated model engine whose requests share one batch and one prefix cache. */
export class EngineModel {
  readonly #options: EngineOptions;

  readonly #batch: Batch;

  readonly #cache: PrefixCache;

  readonly #delayedLoad: DelayedValue<ModelReport>;

  readonly #reportTimer: NodeJS.Timeout;

  readonly #work = new Map<Sequence, EngineWork>();

  readonly record = new EngineRecord();

  readonly inventory: EngineInventory;

  #incarnation: string = randomUUID();

  #isUp = true;

  #isWarm: boolean;

  /** Requests completed since the engine last turned cold. */
  #completedSinceCold = 0;

  #coldSinceMs = Date.now();

  /**
   * The cold limit is not enforced before this time, so that requests in flight when the engine
   * turned cold do not crash it.
   */
  #toleranceUntilMs = 0;

  #slowFactor = 1;

  #tokensReported = 0;

  #isReportingWarm = false;

  constructor(options: EngineOptions) {
    this.#options = options;
    this.inventory = new EngineInventory(options.models);
    this.#batch = new Batch(options.costs, (sequence) => this.#complete(sequence));
    this.#cache = new PrefixCache(options.cache);
    this.#isWarm = options.isWarmAtStart;
    this.#delayedLoad = new DelayedValue(options.reportLagMs, this.#describeLoad());
    this.#reportTimer = setInterval(() => this.#updateLoadReport(), REPORT_INTERVAL_MS);
    this.#reportTimer.unref();
    this.#updateSpeed();
  }

  get isUp(): boolean {
    return this.#isUp;
  }

  get isWarm(): boolean {
    return this.#isWarm;
  }

  /** Number of accepted requests that have not ended, running or waiting. */
  get inFlight(): number {
    return this.#work.size;
  }

  /** Accepts a request, or crashes the engine if it is cold and already at its limit. */
  submit(work: EngineWork, events: SequenceEvents): Result<Sequence, SubmitError> {
    if (!this.#isUp) return Err(SubmitError.Down);
    this.record.count(work.attemptId, 'started');
    this.record.recordInFlight(this.inFlight + 1, !this.#isWarm);
    if (this.#isColdLimitExceeded()) {
      this.record.count(work.attemptId, 'failed');
      this.#crash();
      return Err(SubmitError.Crashed);
    }
    return Ok(this.#start(work, events));
  }

  /** Cancels a request whose caller disconnected; does nothing if it has already ended. */
  cancel(sequence: Sequence): void {
    const work = this.#work.get(sequence);
    if (!work) return;
    this.#work.delete(sequence);
    this.#batch.cancel(sequence);
    this.record.count(work.attemptId, 'cancelled');
  }

  /** Continues a request that was paused because its reader was slow. */
  resume(sequence: Sequence): void {
    this.#batch.resume(sequence);
  }

  /**
   * Turns the engine cold while it is running.
   *
   * @param toleranceMs time for which requests above the cold limit do not crash the engine
   */
  turnCold(toleranceMs: number): void {
    this.#isWarm = false;
    this.#completedSinceCold = 0;
    this.#coldSinceMs = Date.now();
    this.#toleranceUntilMs = this.#coldSinceMs + toleranceMs;
    this.#updateSpeed();
  }

  /** Multiplies the duration of each step by a factor; 1 is normal speed. */
  slowDown(factor: number): void {
    this.#slowFactor = factor;
    this.#updateSpeed();
  }

  /** Sets whether the load report always states that the engine is warm, even when it is cold. */
  overrideWarm(isForced: boolean): void {
    this.#isReportingWarm = isForced;
  }

  /** Suspends all steps for a time and leaves connections open. */
  stall(durationMs: number): void {
    this.#batch.pause();
    setTimeout(() => this.#batch.unpause(), durationMs).unref();
  }

  /** Fails all requests and, after `restartMs`, starts cold with a new incarnation. */
  restart(): void {
    this.#isUp = false;
    this.#failAll();
    setTimeout(() => this.#finishRestart(), this.#options.restartMs).unref();
  }

  /** @returns number of an attempt's tokens in the KV cache, or undefined if it is not in flight */
  exportKv(attemptId: string): number | undefined {
    const found = [...this.#work].find(([, work]) => work.attemptId === attemptId);
    return found && countTokens(...found);
  }

  /** Returns the load report as it was `reportLagMs` ago. */
  readLoad(): ModelReport {
    return this.#delayedLoad.read(Date.now());
  }

  /** Returns the published cache events after a sequence number. */
  listCacheEvents(afterSequence: number): readonly CacheEvent[] {
    return this.#cache.listEvents(afterSequence, Date.now());
  }

  /** Stops the report timer and the steps. */
  close(): void {
    clearInterval(this.#reportTimer);
    this.#batch.pause();
  }

  #isColdLimitExceeded(): boolean {
    if (this.#isWarm || this.inFlight < this.#options.coldLimit) return false;
    return Date.now() >= this.#toleranceUntilMs;
  }

  #start(work: EngineWork, events: SequenceEvents): Sequence {
    const spec = {
      priority: work.priority,
      prefillTokens: this.#countPrefill(work),
      firstToken: work.firstToken,
      maxTokens: work.maxTokens,
    };
    const sequence = this.#batch.submit(spec, events);
    this.#work.set(sequence, work);
    return sequence;
  }

  /**
   * Counts the tokens to prefill: those of the prompt and of the answer before `firstToken`, less
   * cached prefix blocks and imported KV cache.
   */
  #countPrefill(work: EngineWork): number {
    const heldBlocks = this.#cache.use(work.prefixHashes, Date.now());
    const heldShare = heldBlocks / Math.max(1, work.prefixHashes.length);
    const missingTokens = work.promptTokens * (1 - heldShare) + work.firstToken;
    return Math.max(0, missingTokens - this.inventory.takeKv(work.attemptId));
  }

  #complete(sequence: Sequence): void {
    const work = this.#work.get(sequence);
    if (work) this.record.count(work.attemptId, 'completed');
    this.#work.delete(sequence);
    if (this.#isWarm) return;
    this.#completedSinceCold += 1;
    if (this.#completedSinceCold < this.#options.warmAfter) return;
    this.#isWarm = true;
    this.#updateSpeed();
  }

  #crash(): void {
    const nowMs = Date.now();
    this.record.recordViolation({
      atMs: nowMs,
      inFlight: this.inFlight + 1,
      limit: this.#options.coldLimit,
      sinceColdMs: nowMs - this.#coldSinceMs,
    });
    this.restart();
  }

  #failAll(): void {
    this.#work.forEach((work) => this.record.count(work.attemptId, 'failed'));
    this.#work.clear();
    this.#batch.failAll('the engine went down');
  }

  #finishRestart(): void {
    this.#incarnation = randomUUID();
    this.#cache.clear();
    this.inventory.clearKv();
    this.turnCold(0);
    this.#isUp = true;
  }

  #updateSpeed(): void {
    this.#batch.slowdown = this.#slowFactor * (this.#isWarm ? 1 : this.#options.coldSlowdown);
  }

  #updateLoadReport(): void {
    this.#delayedLoad.write(this.#describeLoad(), Date.now());
    this.#tokensReported = this.#batch.tokenCount;
  }

  #describeLoad(): ModelReport {
    const newTokens = this.#batch.tokenCount - this.#tokensReported;
    return {
      engineIncarnation: this.#incarnation,
      running: this.#batch.runningCount,
      queued: this.#batch.waitingCount,
      kvUsedShare: Math.min(1, this.#countKvTokens() / this.#options.kvTokens),
      isWarm: this.#isWarm || this.#isReportingWarm,
      tokensPerSecond: (newTokens / REPORT_INTERVAL_MS) * MS_PER_SECOND,
      models: [...this.inventory.models],
      stepMs: this.#batch.lastStepMs,
      adapters: [...this.inventory.adapters],
      role: this.inventory.role,
    };
  }

  #countKvTokens(): number {
    const tokens = [...this.#work].map(([sequence, work]) => countTokens(sequence, work));
    return tokens.reduce((sum, count) => sum + count, 0);
  }
}
