/**
 * Follows the objects in the platform under one prefix.
 *
 * Lists the objects once, then watches for changes by long polls with a timeout, one at a time. If
 * the watch revision has been compacted, or the store has returned from an older copy, the objects
 * are listed again. Failed calls are retried with jittered backoff, multiplied by the pace that all
 * callers of this process share.
 */
import { containFault } from '../fault.js';
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
import { withCallTimeout } from './callTimeout.js';
import type { PlatformPace } from './platformPace.js';

const PART = 'platform';

/** Least timeout of a call, in addition to the requested wait; applies to a fast platform. */
const CALL_LIMIT_MIN_MS = 1_000;

/** Largest such timeout; applies to a slow platform. */
const CALL_LIMIT_MAX_MS = 16_000;

/**
 * Factor by which the timeout grows with each call that exceeds it, and the margin over the
 * duration of an answered call.
 */
const CALL_LIMIT_FACTOR = 2;

/** Longest delay between calls while calls fail. */
const RETRY_MAX_MS = 5_000;

/** Shortest delay between calls while calls fail. */
const RETRY_MIN_MS = 100;

/**
 * Wait of the first watch after a failed call. A store that has returned from an older copy would
 * hold a longer one without naming its new era.
 */
const PROBE_WAIT_MS = 1;

/** Time over which the followers of all processes spread their lists after a new era. */
const ERA_LIST_SPREAD_MS = 200;

export interface FollowerContext {
  readonly store: ObjectStore;
  readonly pace: PlatformPace;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Time after a change within which another change counts as part of a burst. */
const BURST_GAP_MS = 1_000;

/** Limits on the calls of a follower. */
export interface FollowerLimits {
  /** Least timeout of a call, in addition to the requested wait; applies to a fast platform. */
  readonly callLimitMinMs: number;
  /** Largest such timeout; applies to a slow platform. */
  readonly callLimitMaxMs: number;
  /** Longest delay between calls while calls fail. */
  readonly retryMaxMs: number;
  /** Delay between watches in a burst of changes, so that one call returns several. */
  readonly burstWaitMs: number;
}

const DEFAULT_LIMITS: FollowerLimits = {
  callLimitMinMs: CALL_LIMIT_MIN_MS,
  callLimitMaxMs: CALL_LIMIT_MAX_MS,
  retryMaxMs: RETRY_MAX_MS,
  burstWaitMs: 0,
};

/** Calls the platform in a loop and passes on the objects and changes under a prefix. */
export abstract class PrefixFollower {
  readonly #context: FollowerContext;

  readonly #prefix: string;

  readonly #backoff: Backoff;

  /** Revision up to which all changes were received; undefined if a list is needed. */
  #watchRevision: number | undefined;

  readonly #limits: FollowerLimits;

  /** Grows while calls time out, to tell a slow platform from a silent connection. */
  #callLimitMs: number;

  #timer: NodeJS.Timeout | undefined;

  #isRunning = false;

  #isFailing = false;

  /** Changes when the follower stops and with each era; earlier calls are discarded by it. */
  #generation = 0;

  #removeEraListener: (() => void) | undefined;

  /** Time of the last change of era until the objects have been listed; undefined otherwise. */
  #newEraAtMs: number | undefined;

  #lastChangeAtMs = Number.NEGATIVE_INFINITY;

  /** Delay before the next call, set when the last one is answered. */
  #nextDelayMs = 0;

  constructor(context: FollowerContext, prefix: string, limits: FollowerLimits = DEFAULT_LIMITS) {
    this.#context = context;
    this.#prefix = prefix;
    this.#limits = limits;
    this.#callLimitMs = limits.callLimitMinMs;
    this.#backoff = new Backoff(context.random, RETRY_MIN_MS, limits.retryMaxMs);
  }

  /** Starts to follow. */
  start(): void {
    if (this.#isRunning) return;
    this.#isRunning = true;
    this.#removeEraListener = this.#context.store.eras.onChange(() => this.#handleNewEra());
    this.#schedule(0);
  }

  /** Stops; the answer to a call in flight is ignored. */
  stop(): void {
    this.#isRunning = false;
    this.#generation += 1;
    this.#removeEraListener?.();
    clearTimeout(this.#timer);
  }

  /**
   * Handles the complete list of objects at a revision.
   *
   * @param isOlderCopy whether the store has returned from an older copy since the last list, so
   *   that the newest writes may be missing
   */
  protected abstract handleList(
    objects: readonly StoredObject[],
    revision: number,
    isOlderCopy: boolean,
  ): void;

  /** Handles changes, in the order of their versions. */
  protected abstract handleChanges(changes: readonly ObjectChange[]): void;

  /** @returns longest time in ms for which the next watch waits for a change */
  protected abstract chooseWatchTimeoutMs(): number;

  /**
   * Called before each call.
   *
   * @returns callback for when the call is answered and its result has been handled
   */
  protected abstract onCallStart(): () => void;

  /** Called when calls succeed again after a failed one, before the result is handled. */
  protected abstract onRecovery(): void;

  #schedule(delayMs: number): void {
    const generation = this.#generation;
    this.#timer = setTimeout(() => {
      this.#pollContained(generation).then((nextDelayMs) => {
        if (generation === this.#generation) this.#schedule(nextDelayMs);
      });
    }, delayMs);
  }

  /** Calls the platform; after an exception the objects are listed anew. */
  async #pollContained(generation: number): Promise<number> {
    const polled = await containFault(this.#context, PART, () => this.#poll(generation));
    if (polled.ok) return polled.val;
    if (generation === this.#generation) this.#watchRevision = undefined;
    return this.#backoff.next() * this.#context.pace.factor;
  }

  /** Lists the objects anew; a call in progress no longer counts. */
  #handleNewEra(): void {
    this.#generation += 1;
    this.#watchRevision = undefined;
    this.#newEraAtMs ??= performance.now();
    clearTimeout(this.#timer);
    this.#schedule(this.#context.random.next() * ERA_LIST_SPREAD_MS);
  }

  /** @returns delay until the next call, in ms */
  async #poll(generation: number): Promise<number> {
    const onAnswered = this.onCallStart();
    this.#nextDelayMs = 0;
    const startedAtMs = Date.now();
    const isProbe = this.#isFailing;
    const outcome = await (this.#watchRevision === undefined
      ? this.#list(generation)
      : this.#watch(generation, isProbe ? PROBE_WAIT_MS : this.chooseWatchTimeoutMs()));
    if (generation !== this.#generation) return 0;
    this.#context.pace.recordResult(outcome);
    this.#adaptLimit(outcome, Date.now() - startedAtMs);
    if (!outcome.ok) return this.#handleFailure(outcome.val);
    onAnswered();
    if (!isProbe) this.#backoff.reset();
    this.#handleSuccess();
    return this.#nextDelayMs;
  }

  async #list(generation: number): Promise<Result<unknown, StoreError>> {
    const listed = await withCallTimeout(this.#context.store.list(this.#prefix), this.#callLimitMs);
    if (!listed.ok || generation !== this.#generation) return listed;
    this.#watchRevision = listed.val.revision;
    if (this.#isFailing) this.onRecovery();
    const newEraAtMs = this.#newEraAtMs;
    this.#newEraAtMs = undefined;
    this.handleList(listed.val.objects, listed.val.revision, newEraAtMs !== undefined);
    if (newEraAtMs !== undefined) this.#noteRelisted(performance.now() - newEraAtMs);
    return listed;
  }

  #noteRelisted(tookMs: number): void {
    this.#context.metrics.count('platform.follow.relisted', { prefix: this.#prefix });
    this.#context.log.write(LogLevel.Info, PART, 'Objects were listed again in a new era.', {
      prefix: this.#prefix,
      era: this.#context.store.eras.current,
      tookMs: Math.round(tookMs),
    });
  }

  async #watch(generation: number, timeoutMs: number): Promise<Result<unknown, StoreError>> {
    const after = this.#watchRevision ?? 0;
    const call = this.#context.store.watch(this.#prefix, after, timeoutMs);
    const batch = await withCallTimeout(call, timeoutMs + this.#callLimitMs);
    if (!batch.ok || generation !== this.#generation) return batch;
    this.#watchRevision = Math.max(after, batch.val.revision);
    if (this.#isFailing) this.onRecovery();
    if (batch.val.changes.length > 0) {
      this.handleChanges(batch.val.changes);
      this.#scheduleAfterChange();
    }
    return batch;
  }

  /** Watches again at once after a single change or the first of a burst, else after a delay. */
  #scheduleAfterChange(): void {
    const nowMs = performance.now();
    const isBurst = nowMs - this.#lastChangeAtMs < BURST_GAP_MS;
    this.#lastChangeAtMs = nowMs;
    this.#nextDelayMs = isBurst ? this.#limits.burstWaitMs : 0;
  }

  /** Doubles the timeout after a call that exceeded it; lowers it again with faster answers. */
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

  #handleSuccess(): void {
    if (!this.#isFailing) return;
    this.#isFailing = false;
    this.#context.log.write(LogLevel.Info, PART, 'Calls to the platform succeed again.', {
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
      this.#context.log.write(LogLevel.Warn, PART, 'Calls to the platform fail.', {
        prefix,
        kind,
        detail,
      });
    }
    return this.#backoff.next() * this.#context.pace.factor;
  }
}
