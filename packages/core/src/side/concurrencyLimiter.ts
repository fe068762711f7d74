/**
 * Concurrency limiter of an upstream: bounds the attempts of all entries that run at the same time.
 *
 * For a model engine, the limit falls to the cold limit if the engine's report is missing, stale,
 * from a new engine process or says cold, or if the measured times indicate a cold engine. Plain
 * services have no report; only failures and measured times count. For a model engine, nothing is
 * admitted until a report has shown what an earlier incarnation of this process left running.
 */
import { ConfigKind } from '../config/object.js';
import { RefusalReason } from '../model/reason.js';
import type { NamedLimit } from '../model/namedLimit.js';
import { Warmth, type EngineReport } from '../model/report.js';
import { LogLevel } from '../ports/log.js';

import { ColdUpstreamDetector, type WaitingAttempts } from './coldUpstreamDetector.js';
import { LimitRamp } from './limitRamp.js';
import { RequestRateLimiter } from './requestRateLimiter.js';
import { readClockMs } from './sideClock.js';
import type { SideOptions } from './sideOptions.js';
import { SmoothedTime } from './smoothedTime.js';
import { UntrackedWork } from './untrackedWork.js';

/** Time without any attempt after which the upstream may have turned cold undetected. */
const IDLE_LIMIT_MS = 10_000;

/** Time for which a cancelled call still counts, as the engine stops it with a delay. */
const CANCEL_SETTLE_MS = 250;

/** Shortest time for which a broken call to a plain service still counts. */
const BROKEN_SETTLE_MS = 1_000;

/** Bounds of the retry delay, before random jitter, sent with a refusal. */
const RETRY_MIN_MS = 50;
const RETRY_MAX_MS = 2_000;

/** Weight of the newest sample in the moving averages. */
const SMOOTHING_WEIGHT = 0.2;

/** Part named in log lines. */
const LOG_PART = 'side-gate';

/** How the call of an attempt to the upstream ended. */
export enum AttemptExit {
  /** The complete response was received. */
  Completed = 'completed',
  /** The upstream never received the request. */
  NotSent = 'not-sent',
  /** The upstream refused the request because of overload. */
  Declined = 'declined',
  /** The connection broke; the upstream may still be running the call. */
  Broken = 'broken',
  /** Cancelled by this process. */
  Cancelled = 'cancelled',
}

/** Admission of one attempt. */
export interface ConcurrencyPermit {
  /** Generation of the limit ramp at admission. */
  readonly generation: number;
  readonly acquiredAtMs: number;
}

/** Admits attempts up to the current concurrency limit. */
export class ConcurrencyLimiter {
  readonly #options: SideOptions;

  readonly #onChange: () => void;

  readonly #ramp = new LimitRamp();

  readonly #coldDetector = new ColdUpstreamDetector();

  readonly #untracked: UntrackedWork;

  readonly #requestRate = new RequestRateLimiter();

  /** Last invalid request limit, so that it is logged once. */
  #invalidLimit: string | undefined;

  readonly #permits = new Set<ConcurrencyPermit>();

  /** Permits whose first response byte has not arrived, in order of admission. */
  readonly #awaitingFirstByte = new Set<ConcurrencyPermit>();

  /** Times until which cancelled and broken calls still count. */
  #settlingUntilMs: number[] = [];

  readonly #firstTokenTime = new SmoothedTime(SMOOTHING_WEIGHT);

  readonly #serviceTime = new SmoothedTime(SMOOTHING_WEIGHT);

  readonly #stepTime = new SmoothedTime(SMOOTHING_WEIGHT);

  #idleSinceMs = readClockMs();

  #engineIncarnation: string | undefined;

  #hasReportFailed = false;

  /** @param onChange called after limit or warmth have changed */
  constructor(options: SideOptions, onChange: () => void) {
    this.#options = options;
    this.#onChange = onChange;
    this.#untracked = new UntrackedWork(readClockMs());
  }

  /** Moving average of the time from admission to the first response byte. */
  get firstTokenMs(): number {
    return this.#firstTokenTime.meanMs;
  }

  /** Moving average of the time from admission to the complete response. */
  get serviceMs(): number {
    return this.#serviceTime.meanMs;
  }

  /** Moving average of the time between two chunks of one response. */
  get stepMs(): number {
    return this.#stepTime.meanMs;
  }

  /** Number of calls that count against the limit. */
  get load(): number {
    return this.#permits.size + this.#untracked.count + this.#settlingUntilMs.length;
  }

  /** Writes limit, warmth and number of calls in flight to the board. */
  refresh(nowMs: number): void {
    const { board } = this.#options;
    this.#settlingUntilMs = this.#settlingUntilMs.filter((untilMs) => untilMs > nowMs);
    this.#updateRange();
    this.#resetIfCold(nowMs);
    const { limit, warmth } = board;
    const fullLimit = this.#computeLimit();
    board.warmth = this.#computeWarmth(fullLimit);
    board.inFlight = this.load;
    // While the upstream takes no further request, it counts as full.
    const isHeldBack = this.#requestRate.readWaitMs(nowMs) > 0;
    board.limit = isHeldBack ? Math.min(fullLimit, this.load) : fullLimit;
    if (limit !== board.limit || warmth !== board.warmth) this.#onChange();
  }

  /** Why no attempt can be admitted now; undefined if there is free capacity. */
  findRefusal(nowMs: number): RefusalReason | undefined {
    const { board } = this.#options;
    this.#resetAfterIdle(nowMs);
    this.refresh(nowMs);
    if (!this.#upstream) return RefusalReason.StaleConfiguration;
    if (this.load < board.limit) return undefined;
    return board.warmth === Warmth.Warm ? RefusalReason.UpstreamFull : RefusalReason.UpstreamCold;
  }

  /** Retry delay after which free capacity is likely, in milliseconds, with random jitter. */
  chooseRetryAfterMs(): number {
    const { board, random } = this.#options;
    const completionIntervalMs = this.serviceMs / Math.max(1, board.limit);
    const rateWaitMs = this.#requestRate.readWaitMs(readClockMs());
    const neededMs = Math.max(RETRY_MIN_MS, completionIntervalMs, rateWaitMs);
    const waitMs = Math.min(RETRY_MAX_MS, neededMs);
    return Math.round(waitMs * (0.5 + random.next()));
  }

  /** Admits one attempt; call only if {@link findRefusal} returned undefined. */
  acquire(nowMs: number): ConcurrencyPermit {
    const permit = { generation: this.#ramp.generation, acquiredAtMs: nowMs };
    this.#permits.add(permit);
    this.#requestRate.noteStart(nowMs);
    this.#awaitingFirstByte.add(permit);
    this.#recordPermitCount(nowMs);
    return permit;
  }

  /** Applies what the answer of an admitted attempt says about the request limit. */
  recordRequestLimit(permit: ConcurrencyPermit, named: NamedLimit, nowMs: number): void {
    const before = this.#requestRate.perS;
    this.#requestRate.noteAnswer(named, permit.acquiredAtMs, nowMs);
    const { log, metrics } = this.#options;
    if (named.err && named.val !== this.#invalidLimit) {
      this.#invalidLimit = named.val;
      log.write(LogLevel.Warn, LOG_PART, 'The upstream names an invalid request limit.', {
        detail: named.val,
      });
    }
    if (this.#requestRate.perS === before) return;
    metrics.gauge('side.limit', this.#requestRate.perS ?? 0);
    log.write(LogLevel.Info, LOG_PART, 'The request limit of the upstream has changed.', {
      requestLimitPerS: this.#requestRate.perS,
    });
    this.refresh(nowMs);
  }

  /** Records the arrival of the first response byte. */
  recordFirstByte(permit: ConcurrencyPermit, nowMs: number): void {
    if (!this.#awaitingFirstByte.delete(permit)) return;
    const sampleMs = nowMs - permit.acquiredAtMs;
    this.#coldDetector.addSample(sampleMs, nowMs);
    this.#firstTokenTime.add(sampleMs);
    this.refresh(nowMs);
  }

  /** Records the time between two chunks of one response. */
  recordStepTime(gapMs: number): void {
    this.#stepTime.add(gapMs);
  }

  /** Releases the permit of an attempt and adjusts the limit by how its call ended. */
  release(permit: ConcurrencyPermit, exit: AttemptExit, nowMs: number): void {
    const inFlight = this.load;
    if (!this.#permits.delete(permit)) return;
    this.#awaitingFirstByte.delete(permit);
    this.#recordPermitCount(nowMs);
    this.#applyExit(permit, exit, inFlight, nowMs);
    this.refresh(nowMs);
  }

  /**
   * Applies a load report of the engine.
   *
   * @param readAtMs time at which the read of the report started
   */
  applyReport(report: EngineReport, readAtMs: number): void {
    const { board } = this.#options;
    board.report = report;
    board.reportAtMs = readAtMs;
    this.#hasReportFailed = false;
    this.#updateEngineIncarnation(report.engineIncarnation);
    this.#untracked.applyReportedTotal(report.running + report.queued, readAtMs);
    this.refresh(readClockMs());
  }

  /** Records a failed read of the load report: until the next report, at most the cold limit. */
  recordReportFailure(): void {
    this.#hasReportFailed = true;
    this.refresh(readClockMs());
  }

  get #upstream(): { coldLimit: number; warmLimit: number } | undefined {
    const { board } = this.#options;
    return board.config.get(ConfigKind.Upstream, board.upstream);
  }

  #updateRange(): void {
    const upstream = this.#upstream;
    if (upstream) this.#ramp.setRange(upstream);
  }

  #computeLimit(): number {
    if (!this.#upstream) return 0;
    if (this.#options.isPlain) return this.#ramp.limit;
    if (!this.#untracked.isKnown) return 0;
    return this.#hasReportFailed ? this.#ramp.clampToCold() : this.#ramp.limit;
  }

  #computeWarmth(limit: number): Warmth {
    if (limit < this.#ramp.limit || !this.#ramp.isWarm) {
      return this.#ramp.isCold || limit < this.#ramp.limit ? Warmth.Cold : Warmth.Warming;
    }
    return Warmth.Warm;
  }

  #updateEngineIncarnation(incarnation: string): void {
    const isNew = this.#engineIncarnation !== undefined && this.#engineIncarnation !== incarnation;
    this.#engineIncarnation = incarnation;
    if (!isNew) return;
    this.#untracked.clear();
    this.#requestRate.clear();
    this.#resetToCold('new-engine');
  }

  #applyExit(permit: ConcurrencyPermit, exit: AttemptExit, inFlight: number, nowMs: number): void {
    switch (exit) {
      case AttemptExit.Completed:
        this.#serviceTime.add(nowMs - permit.acquiredAtMs);
        if (!this.#isCold(nowMs)) this.#ramp.increase(permit.generation, inFlight);
        break;
      case AttemptExit.NotSent:
        this.#resetToCold('not-sent');
        break;
      case AttemptExit.Declined:
        this.#ramp.halve();
        break;
      case AttemptExit.Broken:
        this.#countBroken(nowMs);
        this.#resetToCold('broken');
        break;
      default:
        this.#settlingUntilMs.push(nowMs + CANCEL_SETTLE_MS);
    }
  }

  #countBroken(nowMs: number): void {
    const settleMs = Math.max(BROKEN_SETTLE_MS, this.serviceMs);
    if (this.#options.isPlain) this.#settlingUntilMs.push(nowMs + settleMs);
    else this.#untracked.add(1, nowMs);
  }

  #recordPermitCount(nowMs: number): void {
    this.#idleSinceMs = nowMs;
    this.#untracked.recordTracked(this.#permits.size, nowMs);
  }

  #resetAfterIdle(nowMs: number): void {
    if (this.#permits.size > 0 || nowMs - this.#idleSinceMs <= IDLE_LIMIT_MS) return;
    this.#idleSinceMs = nowMs;
    if (!this.#ramp.isCold) this.#resetToCold('idle');
  }

  #resetIfCold(nowMs: number): void {
    if (!this.#ramp.isCold && this.#isCold(nowMs)) this.#resetToCold('observed');
  }

  #isCold(nowMs: number): boolean {
    if (this.#coldDetector.isCold(this.#measureWaiting(nowMs), nowMs)) return true;
    if (this.#options.isPlain) return false;
    const { board, timing } = this.#options;
    return !board.report?.isWarm || nowMs - board.reportAtMs > timing.engineReportLimitMs;
  }

  #measureWaiting(nowMs: number): WaitingAttempts {
    const [first] = this.#awaitingFirstByte;
    return {
      count: this.#awaitingFirstByte.size,
      longestWaitMs: first ? nowMs - first.acquiredAtMs : 0,
    };
  }

  #resetToCold(cause: string): void {
    if (!this.#ramp.isCold) {
      this.#options.metrics.count('side.cold', { cause });
      this.#options.log.write(
        LogLevel.Warn,
        LOG_PART,
        'Concurrency limit falls to the cold limit.',
        { cause },
      );
    }
    this.#ramp.resetToCold();
  }
}
