/**
 * A model engine without its HTTP face: batch, warmth, prefix cache, load report, restarts.
 *
 * A cold engine is slow and bears only a few requests at once; one more and it falls over: all of
 * its requests fail, and it starts anew, cold, after a while.
 */
import { randomUUID } from 'node:crypto';

import type { CacheEvent, EngineReport } from '@radishbay/core/model/report.js';
import { Err, Ok, type Result } from '@radishbay/core/outcome.js';

import { Batch } from './batch.js';
import { EngineInventory } from './engineInventory.js';
import type { EngineOptions } from './engineOptions.js';
import { EngineRecord } from './engineRecord.js';
import { Lagged } from './delayedValue.js';
import { PrefixCache } from './prefixCache.js';
import type { Sequence, SequenceEvents } from './sequence.js';

const REPORT_EVERY_MS = 50;
const MS_PER_SECOND = 1_000;

export interface EngineWork {
  readonly attemptId: string;
  readonly priority: number;
  readonly promptTokens: number;
  /** Hashes of the prompt's leading blocks. */
  readonly prefixHashes: readonly string[];
  readonly firstToken: number;
  readonly maxTokens: number;
}

/** Why a request was not taken on. */
export enum SubmitError {
  /** The engine is not up: the request has not run. */
  Down = 'down',
  /** The request was too much for the cold engine, which went down with all its requests. */
  FellOver = 'fell-over',
}

/** Load report with what model engines add to it. */
export interface ModelReport extends EngineReport {
  /** Time of the last step. */
  readonly stepMs: number;
  readonly adapters: readonly string[];
  readonly role: string;
}

/** Tokens of a request in the KV cache. */
function countTokens(sequence: Sequence, work: EngineWork): number {
  return work.promptTokens + sequence.tokenCount;
}

/** A model engine. */
export class EngineModel {
  readonly #options: EngineOptions;

  readonly #batch: Batch;

  readonly #cache: PrefixCache;

  readonly #load: Lagged<ModelReport>;

  readonly #reportTimer: NodeJS.Timeout;

  readonly #work = new Map<Sequence, EngineWork>();

  readonly record = new EngineRecord();

  readonly inventory: EngineInventory;

  #incarnation: string = randomUUID();

  #isUp = true;

  #isWarm: boolean;

  /** Requests completed since the engine turned cold. */
  #completedCold = 0;

  #coldSinceMs = Date.now();

  /** Until then a cold engine bears what it had in flight when it turned cold. */
  #toleranceUntilMs = 0;

  #slowFactor = 1;

  #tokensReported = 0;

  #isClaimingWarm = false;

  constructor(options: EngineOptions) {
    this.#options = options;
    this.inventory = new EngineInventory(options.models);
    this.#batch = new Batch(options.costs, (sequence) => this.#complete(sequence));
    this.#cache = new PrefixCache(options.cache);
    this.#isWarm = options.isWarmAtStart;
    this.#load = new Lagged(options.reportLagMs, this.#describeLoad());
    this.#reportTimer = setInterval(() => this.#writeLoad(), REPORT_EVERY_MS);
    this.#reportTimer.unref();
    this.#updateSpeed();
  }

  get isUp(): boolean {
    return this.#isUp;
  }

  get isWarm(): boolean {
    return this.#isWarm;
  }

  /** Requests taken on and not ended, running or waiting. */
  get inFlight(): number {
    return this.#work.size;
  }

  /** Takes on a request. */
  submit(work: EngineWork, events: SequenceEvents): Result<Sequence, SubmitError> {
    if (!this.#isUp) return Err(SubmitError.Down);
    this.record.count(work.attemptId, 'started');
    this.record.noteInFlight(this.inFlight + 1, !this.#isWarm);
    if (this.#isOverrun()) {
      this.record.count(work.attemptId, 'failed');
      this.#fallOver();
      return Err(SubmitError.FellOver);
    }
    return Ok(this.#start(work, events));
  }

  /** Stops a request whose caller has gone. */
  cancel(sequence: Sequence): void {
    const work = this.#work.get(sequence);
    if (!work) return;
    this.#work.delete(sequence);
    this.#batch.cancel(sequence);
    this.record.count(work.attemptId, 'cancelled');
  }

  /** Goes on with a request whose reader was slow. */
  resume(sequence: Sequence): void {
    this.#batch.resume(sequence);
  }

  /** Turns cold while it works; what is in flight beyond the cold limit is borne for a time. */
  turnCold(toleranceMs: number): void {
    this.#isWarm = false;
    this.#completedCold = 0;
    this.#coldSinceMs = Date.now();
    this.#toleranceUntilMs = this.#coldSinceMs + toleranceMs;
    this.#updateSpeed();
  }

  /** Makes steps take longer by a factor; 1 is the usual speed. */
  slowDown(factor: number): void {
    this.#slowFactor = factor;
    this.#updateSpeed();
  }

  /** Sets whether the report calls the engine warm whatever it is. */
  claimWarm(isClaiming: boolean): void {
    this.#isClaimingWarm = isClaiming;
  }

  /** Holds all steps for a time, with connections open. */
  stall(durationMs: number): void {
    this.#batch.hold();
    setTimeout(() => this.#batch.release(), durationMs).unref();
  }

  /** Fails all requests and starts anew, cold, as another incarnation. */
  restart(): void {
    this.#isUp = false;
    this.#failAll();
    setTimeout(() => this.#comeUp(), this.#options.restartMs).unref();
  }

  /** @returns tokens in the KV cache of an attempt, or undefined where it is not in flight */
  exportKv(attemptId: string): number | undefined {
    const found = [...this.#work].find(([, work]) => work.attemptId === attemptId);
    return found && countTokens(...found);
  }

  /** The load as it was a while ago. */
  readLoad(): ModelReport {
    return this.#load.read(Date.now());
  }

  listCacheEvents(afterSequence: number): readonly CacheEvent[] {
    return this.#cache.listEvents(afterSequence, Date.now());
  }

  /** Ends the engine's own timers. */
  close(): void {
    clearInterval(this.#reportTimer);
    this.#batch.hold();
  }

  #isOverrun(): boolean {
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

  /** Tokens to compute before the first one of the answer. */
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
    this.#completedCold += 1;
    if (this.#completedCold < this.#options.warmAfter) return;
    this.#isWarm = true;
    this.#updateSpeed();
  }

  #fallOver(): void {
    const nowMs = Date.now();
    this.record.noteViolation({
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

  #comeUp(): void {
    this.#incarnation = randomUUID();
    this.#cache.clear();
    this.inventory.clearKv();
    this.turnCold(0);
    this.#isUp = true;
  }

  #updateSpeed(): void {
    this.#batch.slowdown = this.#slowFactor * (this.#isWarm ? 1 : this.#options.coldSlowdown);
  }

  #writeLoad(): void {
    this.#load.write(this.#describeLoad(), Date.now());
    this.#tokensReported = this.#batch.tokenCount;
  }

  #describeLoad(): ModelReport {
    const newTokens = this.#batch.tokenCount - this.#tokensReported;
    return {
      engineIncarnation: this.#incarnation,
      running: this.#batch.runningCount,
      queued: this.#batch.waitingCount,
      kvUsedShare: Math.min(1, this.#countKvTokens() / this.#options.kvTokens),
      isWarm: this.#isWarm || this.#isClaimingWarm,
      tokensPerSecond: (newTokens / REPORT_EVERY_MS) * MS_PER_SECOND,
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
