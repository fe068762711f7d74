/**
 * Follows the objects of the platform under one prefix.
 *
 * Lists once, then watches by bounded long polls, one at a time. A watch that fell behind is
 * replaced by a list. Failures are retried with jittered back-off, stretched by the pace that all
 * callers of this process share.
 */
import { Backoff } from '../membership/backoff.js';
import type { Result } from '../outcome.js';
import { LogLevel, type Log } from '../ports/log.js';
import type { Metrics } from '../ports/metrics.js';
import {
  StoreErrorKind,
  type ObjectChange,
  type ObjectStore,
  type StoredObject,
  type StoreError,
} from '../ports/objectStore.js';
import type { Random } from '../ports/random.js';
import { boundCall } from './boundedCall.js';
import type { PlatformPace } from './platformPace.js';

const PART = 'platform';

/** Time for a call beyond the wait that was asked for, where the platform is quick. */
const CALL_LIMIT_MIN_MS = 1_000;

/** The same where the platform has been slow. */
const CALL_LIMIT_MAX_MS = 16_000;

/** Growth of the limit with each call that it cut off, and its fall with each answer. */
const CALL_LIMIT_FACTOR = 2;

/** Longest wait between calls while the platform fails. */
const RETRY_MAX_MS = 5_000;

/** Shortest wait between calls while the platform fails. */
const RETRY_MIN_MS = 100;

export interface FollowerContext {
  readonly store: ObjectStore;
  readonly pace: PlatformPace;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Time after a change within which another one makes a burst. */
const BURST_GAP_MS = 1_000;

/** Bounds of a follower's calls. */
export interface FollowerLimits {
  /** Time for a call beyond the wait that was asked for, where the platform is quick. */
  readonly callLimitMinMs: number;
  /** The same where the platform has been slow. */
  readonly callLimitMaxMs: number;
  /** Longest wait between calls while the platform fails. */
  readonly retryMaxMs: number;
  /** Wait between watches in a burst of changes, so that one call tells of several. */
  readonly burstWaitMs: number;
}

const DEFAULT_LIMITS: FollowerLimits = {
  callLimitMinMs: CALL_LIMIT_MIN_MS,
  callLimitMaxMs: CALL_LIMIT_MAX_MS,
  retryMaxMs: RETRY_MAX_MS,
  burstWaitMs: 0,
};

/** A loop of calls that keeps a local copy of a prefix up to date. */
export abstract class PrefixFollower {
  readonly #context: FollowerContext;

  readonly #prefix: string;

  readonly #backoff: Backoff;

  /** Revision up to which the watch has told all; undefined before the first list. */
  #watchRevision: number | undefined;

  readonly #limits: FollowerLimits;

  /** Grows while answers do not come in time: a slow platform is not a silent connection. */
  #callLimitMs: number;

  #timer: NodeJS.Timeout | undefined;

  #isRunning = false;

  #isFailing = false;

  #lastChangeAtMs = Number.NEGATIVE_INFINITY;

  /** Wait before the next call, as the last one was answered. */
  #nextDelayMs = 0;

  constructor(context: FollowerContext, prefix: string, limits: FollowerLimits = DEFAULT_LIMITS) {
    this.#context = context;
    this.#prefix = prefix;
    this.#limits = limits;
    this.#callLimitMs = limits.callLimitMinMs;
    this.#backoff = new Backoff(context.random, RETRY_MIN_MS, limits.retryMaxMs);
  }

  /** Begins to follow. */
  start(): void {
    if (this.#isRunning) return;
    this.#isRunning = true;
    this.#schedule(0);
  }

  /** Stops; the answer of a call in progress is dropped. */
  stop(): void {
    this.#isRunning = false;
    clearTimeout(this.#timer);
  }

  /** Takes all objects there are at a revision. */
  protected abstract takeList(objects: readonly StoredObject[], revision: number): void;

  /** Takes changes in the order of their versions. */
  protected abstract takeChanges(changes: readonly ObjectChange[]): void;

  /** Longest time that the next watch waits. */
  protected abstract chooseWatchMs(): number;

  /**
   * A call is about to begin.
   *
   * @returns what to do once it is answered and what it told has been taken in
   */
  protected abstract beginCall(): () => void;

  #schedule(delayMs: number): void {
    this.#timer = setTimeout(() => {
      this.#poll().then((nextDelayMs) => {
        if (this.#isRunning) this.#schedule(nextDelayMs);
      });
    }, delayMs);
  }

  /** @returns time until the next call */
  async #poll(): Promise<number> {
    const noteAnswer = this.beginCall();
    this.#nextDelayMs = 0;
    const startedAtMs = Date.now();
    const outcome = await (this.#watchRevision === undefined ? this.#list() : this.#watch());
    if (!this.#isRunning) return 0;
    this.#context.pace.note(outcome);
    this.#adaptLimit(outcome, Date.now() - startedAtMs);
    if (!outcome.ok) return this.#handleFailure(outcome.val);
    noteAnswer();
    this.#handleSuccess();
    return this.#nextDelayMs;
  }

  async #list(): Promise<Result<unknown, StoreError>> {
    const listed = await boundCall(this.#context.store.list(this.#prefix), this.#callLimitMs);
    if (!listed.ok || !this.#isRunning) return listed;
    this.#watchRevision = listed.val.revision;
    this.takeList(listed.val.objects, listed.val.revision);
    return listed;
  }

  async #watch(): Promise<Result<unknown, StoreError>> {
    const timeoutMs = this.chooseWatchMs();
    const after = this.#watchRevision ?? 0;
    const call = this.#context.store.watch(this.#prefix, after, timeoutMs);
    const batch = await boundCall(call, timeoutMs + this.#callLimitMs);
    if (!batch.ok || !this.#isRunning) return batch;
    this.#watchRevision = Math.max(after, batch.val.revision);
    if (batch.val.changes.length > 0) {
      this.takeChanges(batch.val.changes);
      this.#scheduleAfterChange();
    }
    return batch;
  }

  /** A change alone is followed by a watch at once, as is the first one of a burst. */
  #scheduleAfterChange(): void {
    const nowMs = performance.now();
    const isBurst = nowMs - this.#lastChangeAtMs < BURST_GAP_MS;
    this.#lastChangeAtMs = nowMs;
    this.#nextDelayMs = isBurst ? this.#limits.burstWaitMs : 0;
  }

  /** Doubles the limit after a call that it cut off; follows the platform down again. */
  #adaptLimit(outcome: Result<unknown, StoreError>, tookMs: number): void {
    if (!outcome.ok && outcome.val.kind === StoreErrorKind.Unknown) {
      this.#callLimitMs = Math.min(
        this.#limits.callLimitMaxMs,
        this.#callLimitMs * CALL_LIMIT_FACTOR,
      );
      return;
    }
    const neededMs = Math.min(tookMs * CALL_LIMIT_FACTOR, this.#callLimitMs);
    this.#callLimitMs = Math.max(this.#limits.callLimitMinMs, neededMs);
  }

  /** Whether the last call failed. */
  protected get isFailing(): boolean {
    return this.#isFailing;
  }

  #handleSuccess(): void {
    this.#backoff.reset();
    if (!this.#isFailing) return;
    this.#isFailing = false;
    this.#context.log.write(LogLevel.Info, PART, 'The platform answers again.', {
      prefix: this.#prefix,
    });
  }

  #handleFailure(error: StoreError): number {
    const { kind, detail } = error;
    const prefix = this.#prefix;
    this.#context.metrics.count('platform.follow.failed', { kind, prefix });
    if (kind === StoreErrorKind.Compacted) {
      this.#watchRevision = undefined;
      return 0;
    }
    if (!this.#isFailing) {
      this.#isFailing = true;
      this.#context.log.write(LogLevel.Warn, PART, 'The platform fails.', { prefix, kind, detail });
    }
    return this.#backoff.next() * this.#context.pace.factor;
  }
}
