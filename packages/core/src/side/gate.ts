/**
 * The gate in front of an upstream: how many attempts of all entries together run at once.
 *
 * Model engines: the limit falls to the cold one where the engine's report is missing, stale, of a
 * new engine process, or says cold, and where measured times say so. Plain services have no report;
 * failures and measured times decide alone. Nothing is let in before it is known what an earlier
 * incarnation of this process has left running.
 */
import { ConfigKind } from '../config/object.js';
import { RefusalReason } from '../model/reason.js';
import { Warmth, type EngineReport } from '../model/report.js';
import { LogLevel } from '../ports/log.js';

import { FirstTokenWatch, type WaitingAttempts } from './firstTokenWatch.js';
import { LimitRamp } from './limitRamp.js';
import { readClockMs } from './sideClock.js';
import type { SideOptions } from './sideOptions.js';
import { SmoothedTime } from './smoothedTime.js';
import { UnownedWork } from './unownedWork.js';

/** Time without any attempt after which the upstream may have turned cold unnoticed. */
const IDLE_LIMIT_MS = 10_000;

/** Time for which a cancelled call still counts: the engine hears of it a little later. */
const CANCEL_SETTLE_MS = 250;

/** Time for which a broken call to a plain service still counts, at least. */
const BROKEN_SETTLE_MS = 1_000;

/** Bounds of the time after which a refused submission is worth another try. */
const RETRY_MIN_MS = 50;
const RETRY_MAX_MS = 2_000;

/** Weight of the newest sample in the smoothed times. */
const TIME_WEIGHT = 0.2;

/** Part named in log lines. */
const LOG_PART = 'side-gate';

/** How an attempt left the upstream. */
export enum GateExit {
  /** The whole answer came. */
  Completed = 'completed',
  /** The upstream never got it. */
  NotSent = 'not-sent',
  /** The upstream had too much. */
  Declined = 'declined',
  /** The connection broke; the upstream may go on with it. */
  Broken = 'broken',
  /** Cancelled by this process. */
  Cancelled = 'cancelled',
}

/** An attempt that has been let in. */
export interface GatePass {
  readonly generation: number;
  readonly enteredAtMs: number;
}

/** Counts attempts and bounds them. */
export class Gate {
  readonly #options: SideOptions;

  readonly #onChange: () => void;

  readonly #ramp = new LimitRamp();

  readonly #watch = new FirstTokenWatch();

  readonly #unowned: UnownedWork;

  readonly #passes = new Set<GatePass>();

  /** Passes whose first byte has not come, in the order of entering. */
  readonly #waiting = new Set<GatePass>();

  /** Times until which ended calls still count. */
  #settlingUntilMs: number[] = [];

  readonly #firstTokenTime = new SmoothedTime(TIME_WEIGHT);

  readonly #serviceTime = new SmoothedTime(TIME_WEIGHT);

  readonly #stepTime = new SmoothedTime(TIME_WEIGHT);

  #idleSinceMs = readClockMs();

  #engineIncarnation: string | undefined;

  #hasReadFault = false;

  /** @param onChange called after limit or warmth have changed */
  constructor(options: SideOptions, onChange: () => void) {
    this.#options = options;
    this.#onChange = onChange;
    this.#unowned = new UnownedWork(readClockMs());
  }

  get firstTokenMs(): number {
    return this.#firstTokenTime.meanMs;
  }

  get serviceMs(): number {
    return this.#serviceTime.meanMs;
  }

  get stepMs(): number {
    return this.#stepTime.meanMs;
  }

  /** Work that counts against the limit. */
  get load(): number {
    return this.#passes.size + this.#unowned.count + this.#settlingUntilMs.length;
  }

  /** Writes limit, warmth and work in flight to the blackboard. */
  refresh(nowMs: number): void {
    const { board } = this.#options;
    this.#settlingUntilMs = this.#settlingUntilMs.filter((untilMs) => untilMs > nowMs);
    this.#readRange();
    this.#fallWhereCold(nowMs);
    const { limit, warmth } = board;
    board.limit = this.#readLimit();
    board.warmth = this.#readWarmth();
    board.inFlight = this.load;
    if (limit !== board.limit || warmth !== board.warmth) this.#onChange();
  }

  /** Why nothing more is let in now; undefined where there is room. */
  findRefusal(nowMs: number): RefusalReason | undefined {
    const { board } = this.#options;
    this.#fallAfterIdle(nowMs);
    this.refresh(nowMs);
    if (!this.#upstream) return RefusalReason.StaleConfiguration;
    if (this.load < board.limit) return undefined;
    return board.warmth === Warmth.Warm ? RefusalReason.UpstreamFull : RefusalReason.UpstreamCold;
  }

  /** Time after which room is likely. */
  chooseRetryMs(): number {
    const { board, random } = this.#options;
    const turnMs = this.serviceMs / Math.max(1, board.limit);
    const waitMs = Math.min(RETRY_MAX_MS, Math.max(RETRY_MIN_MS, turnMs));
    return Math.round(waitMs * (0.5 + random.next()));
  }

  /** Lets one attempt in; only where {@link findRefusal} has found none. */
  enter(nowMs: number): GatePass {
    const pass = { generation: this.#ramp.generation, enteredAtMs: nowMs };
    this.#passes.add(pass);
    this.#waiting.add(pass);
    this.#noteOwned(nowMs);
    return pass;
  }

  /** Takes in that the first byte of an answer has come. */
  noteFirstByte(pass: GatePass, nowMs: number): void {
    if (!this.#waiting.delete(pass)) return;
    const sampleMs = nowMs - pass.enteredAtMs;
    this.#watch.add(sampleMs, nowMs);
    this.#firstTokenTime.add(sampleMs);
    this.refresh(nowMs);
  }

  /** Takes the time between two pieces of one answer in. */
  noteStep(gapMs: number): void {
    this.#stepTime.add(gapMs);
  }

  /** Lets an attempt out. */
  leave(pass: GatePass, exit: GateExit, nowMs: number): void {
    const inFlight = this.load;
    if (!this.#passes.delete(pass)) return;
    this.#waiting.delete(pass);
    this.#noteOwned(nowMs);
    this.#readExit(pass, exit, inFlight, nowMs);
    this.refresh(nowMs);
  }

  /** Takes a load report in. */
  readReport(report: EngineReport, readAtMs: number): void {
    const { board } = this.#options;
    board.report = report;
    board.reportAtMs = readAtMs;
    this.#hasReadFault = false;
    this.#readEngineIncarnation(report.engineIncarnation);
    this.#unowned.readTotal(report.running + report.queued, readAtMs);
    this.refresh(readClockMs());
  }

  /** Takes in that a load report could not be read: no more than the cold limit until one is. */
  readReportFault(): void {
    this.#hasReadFault = true;
    this.refresh(readClockMs());
  }

  get #upstream(): { coldLimit: number; warmLimit: number } | undefined {
    const { board } = this.#options;
    return board.config.get(ConfigKind.Upstream, board.upstream);
  }

  #readRange(): void {
    const upstream = this.#upstream;
    if (upstream) this.#ramp.setRange(upstream);
  }

  #readLimit(): number {
    if (!this.#upstream) return 0;
    if (this.#options.isPlain) return this.#ramp.limit;
    if (!this.#unowned.isKnown) return 0;
    return this.#hasReadFault ? this.#ramp.clampToCold() : this.#ramp.limit;
  }

  #readWarmth(): Warmth {
    const { limit } = this.#options.board;
    if (limit < this.#ramp.limit || !this.#ramp.isWarm) {
      return this.#ramp.isCold || limit < this.#ramp.limit ? Warmth.Cold : Warmth.Warming;
    }
    return Warmth.Warm;
  }

  #readEngineIncarnation(incarnation: string): void {
    const isNew = this.#engineIncarnation !== undefined && this.#engineIncarnation !== incarnation;
    this.#engineIncarnation = incarnation;
    if (!isNew) return;
    this.#unowned.clear();
    this.#fall('new-engine');
  }

  #readExit(pass: GatePass, exit: GateExit, inFlight: number, nowMs: number): void {
    switch (exit) {
      case GateExit.Completed:
        this.#serviceTime.add(nowMs - pass.enteredAtMs);
        if (!this.#isCold(nowMs)) this.#ramp.rise(pass.generation, inFlight);
        break;
      case GateExit.NotSent:
        this.#fall('not-sent');
        break;
      case GateExit.Declined:
        this.#ramp.halve();
        break;
      case GateExit.Broken:
        this.#countBroken(nowMs);
        this.#fall('broken');
        break;
      default:
        this.#settlingUntilMs.push(nowMs + CANCEL_SETTLE_MS);
    }
  }

  #countBroken(nowMs: number): void {
    const settleMs = Math.max(BROKEN_SETTLE_MS, this.serviceMs);
    if (this.#options.isPlain) this.#settlingUntilMs.push(nowMs + settleMs);
    else this.#unowned.add(1, nowMs);
  }

  #noteOwned(nowMs: number): void {
    this.#idleSinceMs = nowMs;
    this.#unowned.noteOwned(this.#passes.size, nowMs);
  }

  #fallAfterIdle(nowMs: number): void {
    if (this.#passes.size > 0 || nowMs - this.#idleSinceMs <= IDLE_LIMIT_MS) return;
    this.#idleSinceMs = nowMs;
    if (!this.#ramp.isCold) this.#fall('idle');
  }

  #fallWhereCold(nowMs: number): void {
    if (!this.#ramp.isCold && this.#isCold(nowMs)) this.#fall('observed');
  }

  #isCold(nowMs: number): boolean {
    if (this.#watch.isCold(this.#readWaiting(nowMs), nowMs)) return true;
    if (this.#options.isPlain) return false;
    const { board, timing } = this.#options;
    return !board.report?.isWarm || nowMs - board.reportAtMs > timing.engineReportLimitMs;
  }

  #readWaiting(nowMs: number): WaitingAttempts {
    const [first] = this.#waiting;
    return { count: this.#waiting.size, longestMs: first ? nowMs - first.enteredAtMs : 0 };
  }

  #fall(cause: string): void {
    if (!this.#ramp.isCold) {
      this.#options.metrics.count('side.cold', { cause });
      this.#options.log.write(LogLevel.Warn, LOG_PART, 'Limit falls to the cold one.', { cause });
    }
    this.#ramp.fall();
  }
}
