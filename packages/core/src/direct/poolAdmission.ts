/**
 * Admission control of one pool: decides whether a request is sent now, queued or refused.
 *
 * Handles overload, where more requests arrive than can be answered on time. A first attempt by a
 * caller is queued only as long as it can still meet its latency target; otherwise it is refused
 * immediately with a Retry-After delay. A request that is already late is queued behind the on-time
 * ones, for as long as it can still be answered at all.
 */
import { isDeepStrictEqual } from 'node:util';

import type { Refusal } from '../model/reason.js';
import type { RequestSize } from '../model/requestSize.js';
import { LogLevel, type Log, type LogFields } from '../ports/log.js';
import type { Metrics } from '../ports/metrics.js';
import type { Random } from '../ports/random.js';

import { HoldingTimes } from './cost/holdingTimes.js';
import { PoolCost, type WorkWeights } from './cost/poolCost.js';
import type { RequestCost } from './cost/requestCost.js';
import type { DirectUpstream } from './directUpstream.js';
import type { FleetBoard } from './fleetBoard.js';
import {
  canPlaceAt,
  choosePlacement,
  isInService,
  readBackoffMs,
  type PlacementResult,
} from './placement.js';
import type { PoolActivity } from './poolActivity.js';
import type { PoolDemand } from './requestLimits/poolDemand.js';
import type { BreakerChangeSource, PoolBreaker } from './poolBreaker.js';
import { PoolCapacity } from './poolCapacity.js';
import { PoolRefusals } from './poolRefusals.js';
import { RestHistory } from './restHistory.js';
import type { DirectPool } from './routeTable.js';
import { ShareTelemetry } from './sharing/shareTelemetry.js';
import { weighRequest, type WorkspaceClaim } from './sharing/workspaceClaim.js';
import { AdmissionDenial, AdmissionQueue, type AdmissionTicket } from './admissionQueue.js';
import { PoolUrgency } from './sharing/poolUrgency.js';
import { UrgencyTelemetry, type AttemptOutcome } from './sharing/urgencyTelemetry.js';
import { readUrgencyRank } from './sharing/urgencyRank.js';

const LOG_PART = 'admission';

/**
 * Time without output from a whole pool, in milliseconds, that is longer than a few slow passes.
 */
const POOL_SILENCE_MS = 450;

/** Requests in flight without any output from which the silence is attributed to the whole pool. */
const SILENT_REQUESTS_MIN = 4;

/**
 * Interval between admission checks for queued requests, in milliseconds, as the start rate limit
 * frees up without an event.
 */
const RECHECK_MS = 20;

/**
 * Time since the last probe by a new request, in milliseconds, after which a queued request probes
 * a stalled pool. A new request that is declined can be retried by its caller, while each refusal
 * costs a queued one an attempt.
 */
const QUEUED_PROBE_MS = 600;

/**
 * Number of less urgent requests of which one competes as if nothing more urgent were pending, as
 * each class gets at least a quarter of the common share.
 */
const YIELD_CYCLE = 4;

export interface PoolAdmissionOptions {
  readonly board: FleetBoard;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: Metrics;
  /**
   * Limit of the requests per second that all entries together may start at one upstream; undefined
   * where there is none.
   */
  readonly getStartLimitPerS: (pool: DirectPool) => number | undefined;
}

function createCost({ engine }: DirectPool): PoolCost | undefined {
  return engine?.costs && new PoolCost(engine.costs, engine.group !== undefined);
}

/** Admission control of one pool. */
export class PoolAdmission {
  readonly #breaker: PoolBreaker;

  readonly capacity: PoolCapacity;

  /** Costs of requests; undefined where the pool's engines have no configured costs. */
  cost: PoolCost | undefined;

  /** Holding times of requests, where their costs are not known. */
  readonly holdingTimes = new HoldingTimes();

  readonly #options: PoolAdmissionOptions;

  #pool: DirectPool;

  readonly #refusals: PoolRefusals;

  readonly #demand: PoolDemand;

  readonly #queue: AdmissionQueue;

  readonly #shareTelemetry: ShareTelemetry;

  /** Less urgent requests that have yielded since the last one that did not. */
  #yieldCount = 0;

  /** How the rests of the pool's streams have ended. */
  readonly rests = new RestHistory();

  /** Streams that wait for an upstream to confirm their ends, by request id. */
  readonly #confirmations = new Map<string, () => void>();

  /** Set where the pool's requests differ in priority by their routes. */
  #urgency: PoolUrgency | undefined;

  readonly #urgencyTelemetry: UrgencyTelemetry;

  readonly #unsubscribeBreaker: () => void;

  #admitTimer: NodeJS.Timeout | undefined;

  constructor(options: PoolAdmissionOptions, pool: DirectPool) {
    this.#options = options;
    this.#pool = pool;
    this.#refusals = new PoolRefusals(pool.name, options.random);
    const onAdjust = (ratio: number): void => this.#logLimit(ratio);
    const countPeersPrefilling = () => this.#urgency?.countPeersPrefilling(performance.now());
    this.cost = createCost(pool);
    this.capacity = new PoolCapacity({ ...options, countPeersPrefilling, onAdjust }, pool);
    this.#demand = options.board.permits.getDemand(pool.name);
    const { fairness } = options.board;
    this.#queue = new AdmissionQueue({
      onSizeChange: (size) => {
        this.#demand.setWaiting(size);
        this.#tellWaiting();
      },
      onWaiting: (ticket, change) => fairness.addWaiting(pool.name, ticket, change),
      isAboveShare: ({ claim }) =>
        fairness.findExcess(pool.name, claim, performance.now()) !== undefined,
    });
    this.#shareTelemetry = new ShareTelemetry({ ...options, pool: pool.name });
    this.#urgencyTelemetry = new UrgencyTelemetry({ ...options, pool: pool.name });
    this.#updateUrgency();
    options.board.permits.onGranted(pool.name, () => this.#admitWaiting());
    this.#breaker = options.board.getBreaker(pool.name);
    this.#unsubscribeBreaker = this.#breaker.onChange((source) =>
      this.#handleBreakerChange(source),
    );
  }

  /** Unsubscribes from the pool's circuit breaker, when the pool has been removed. */
  close(): void {
    this.#unsubscribeBreaker();
    this.#options.board.permits.removePool(this.#pool.name);
    this.#urgency?.close();
  }

  /** Applies the pool's settings from a newer configuration. */
  update(pool: DirectPool): void {
    const { costs } = pool.engine ?? {};
    const isSame = isDeepStrictEqual(costs, this.#pool.engine?.costs);
    if (!isSame) this.cost = createCost(pool);
    this.#pool = pool;
    this.capacity.update(pool);
    this.#updateUrgency();
  }

  #updateUrgency(): void {
    const { board, random } = this.#options;
    const pool = this.#pool.name;
    const isNeeded = board.table?.hasPriorities(pool) ?? false;
    if (isNeeded === (this.#urgency !== undefined)) return;
    this.#urgency?.close();
    if (!isNeeded) {
      this.#urgency = undefined;
      return;
    }
    const countPrefilling = () => this.capacity.countPrefilling();
    this.#urgency = new PoolUrgency({ board, pool, countPrefilling, draw: () => random.next() });
  }

  /** Tells the peers what waits here for a slot; nothing while the pool is stalled. */
  #tellWaiting(): void {
    if (!this.#urgency) return;
    const isUsable =
      this.#queue.size > 0 &&
      !this.#breaker.isOpen &&
      (this.#urgency.isKnown || !this.capacity.isPrefillFull) &&
      !this.#isSilent(performance.now());
    this.#urgency.setWaiting(isUsable ? this.#queue.list() : []);
  }

  /** @param ratio pauses relative to their target, or to the pass time that the model predicts */
  #logLimit(ratio: number): void {
    this.#write(LogLevel.Info, 'In-flight limit changed.', {
      limit: Math.round(this.capacity.limitPerUpstream * 10) / 10,
      pausesRatio: Math.round(ratio * 100) / 100,
    });
  }

  #handleBreakerChange(source: BreakerChangeSource): void {
    if (this.#breaker.isOpen) this.#write(LogLevel.Warn, 'Circuit breaker of the pool opened.');
    else {
      this.#write(LogLevel.Info, 'Circuit breaker of the pool closed.', { news: source });
      this.#admitWaiting();
    }
  }

  get #activity(): PoolActivity {
    return this.#options.board.getActivity(this.#pool.name);
  }

  /**
   * Returns what a request takes from its workspace's share; undefined where workspaces have none.
   *
   * @param workspace undefined for callers without a key, which share the capacity of one workspace
   */
  createClaim(
    workspace: string | undefined,
    size: RequestSize | undefined,
  ): WorkspaceClaim | undefined {
    const { table } = this.#options.board;
    if (!table?.isShared) return undefined;
    const share = workspace === undefined ? 1 : table.readWeight(workspace);
    return { workspace: workspace ?? '', share, ...weighRequest(size, this.#pool.engine) };
  }

  /** Whether the pool's requests are admitted by priority over all entries. */
  get isByPriority(): boolean {
    return this.#urgency !== undefined;
  }

  get waitingCount(): number {
    return this.#queue.size;
  }

  /**
   * Mean pause between the events of the pool's recent streams; undefined before the first pause.
   */
  get meanPauseMs(): number | undefined {
    return this.#activity.meanPauseMs;
  }

  /**
   * Whether the pool has produced output within a time window, so that a silent upstream is an
   * outlier.
   */
  isLive(nowMs: number, withinMs: number): boolean {
    return this.#activity.isLive(nowMs, withinMs);
  }

  /** Requests admission. Calls `onAdmitted` or `onDenied` of the ticket, possibly synchronously. */
  admit(arrived: AdmissionTicket, nowMs: number): void {
    const ticket = this.#applyUrgency(arrived, nowMs);
    const ahead = this.#queue.countAhead(ticket);
    this.#demand.noteArrival(nowMs);
    if (this.#isSilent(nowMs) || !this.#breaker.tryPass(nowMs)) {
      if (ticket.isLate && ticket.waitBudgetMs > 0) this.#enqueue(ticket, ahead);
      else ticket.onDenied(AdmissionDenial.Stalled);
      return;
    }
    const { upstream, availableCount } = this.#placeTicket(ticket, false, false, nowMs);
    const isYielding = this.#isNewYielding(ticket, nowMs);
    if (ahead === 0 && upstream && !isYielding) {
      ticket.onAdmitted(upstream);
      return;
    }
    const expectedMs = this.#estimateWaitMs(ticket, ahead, nowMs);
    if (availableCount === 0) this.#admitDuringBackoff(ticket, ahead, nowMs);
    else if (isYielding) ticket.onDenied(AdmissionDenial.Full);
    else if (expectedMs > ticket.waitBudgetMs) ticket.onDenied(AdmissionDenial.Full);
    else this.#enqueue(ticket, ahead, expectedMs);
  }

  /** Records a request's arrival, and puts it first where its priority is starved. */
  #applyUrgency(ticket: AdmissionTicket, nowMs: number): AdmissionTicket {
    const urgency = this.#urgency;
    if (!urgency || ticket.isLate) return ticket;
    return {
      ...ticket,
      priority: urgency.noteArrival(ticket, nowMs),
      onAdmitted: (upstream) => {
        urgency.noteAdmitted(ticket.priority);
        const waitedMs = performance.now() - ticket.arrivedAtMs;
        this.#urgencyTelemetry.noteWait(ticket.priority, waitedMs);
        ticket.onAdmitted(upstream);
      },
    };
  }

  /**
   * Requests admission again after an attempt failed. The request is queued even while its pool is
   * stalled.
   */
  readmit(ticket: AdmissionTicket): void {
    if (ticket.waitBudgetMs > 0) this.#enqueue(ticket, this.#queue.countAhead(ticket));
    else ticket.onDenied(AdmissionDenial.Full);
  }

  /** Removes a request from the queue, as it has ended. */
  withdraw(id: string): void {
    this.#confirmations.delete(id);
    this.#queue.remove(id);
  }

  /**
   * Chooses an upstream for another attempt without queueing; undefined where none has capacity.
   */
  chooseUpstream(
    excluded: ReadonlySet<string>,
    nowMs: number,
    cost?: RequestCost,
  ): DirectUpstream | undefined {
    const pool = this.#options.board.listPool(this.#pool.name);
    const isAnyAllowed = pool.some(({ id }) => !excluded.has(id));
    if (!isAnyAllowed || !this.#breaker.canPass(nowMs)) return undefined;
    const { upstream } = this.#place(excluded, nowMs, cost);
    return upstream && this.#breaker.tryPass(nowMs) ? upstream : undefined;
  }

  /**
   * Finds an upstream, of some in order of preference, for a request that confirms the end of a
   * stream. It may take the slot that the stream has just released. Ejected upstreams come last.
   */
  findForConfirmation(ids: readonly string[], nowMs: number): DirectUpstream | undefined {
    const limit = Math.ceil(this.capacity.limitPerUpstream) + 1;
    const { startsPerS } = this.capacity;
    const possible = this.#findUpstreams(ids).filter((upstream) =>
      canPlaceAt(this.#options.board, upstream, { limit, startsPerS, nowMs }),
    );
    const found = possible.find(({ ejection }) => !ejection.isEjected(nowMs)) ?? possible[0];
    return found && this.#breaker.tryPass(nowMs) ? found : undefined;
  }

  /**
   * Waits until a slot may be free for the confirmation of a stream's end, which takes precedence
   * over queued requests.
   *
   * @param onChance called once, unless the request is withdrawn
   */
  awaitConfirmation(id: string, onChance: () => void): void {
    this.#confirmations.set(id, onChance);
    this.#admitTimer ??= setTimeout(this.#admitWaiting, RECHECK_MS);
  }

  #offerConfirmations(): void {
    [...this.#confirmations].forEach(([id, onChance]) => {
      // A call can end another request, or make it wait anew.
      if (this.#confirmations.get(id) !== onChance) return;
      this.#confirmations.delete(id);
      onChance();
    });
  }

  /** Whether one of some upstreams is in service, whether or not it has capacity. */
  isAnyInService(ids: readonly string[]): boolean {
    return this.#findUpstreams(ids).some((each) => isInService(this.#options.board, each));
  }

  #findUpstreams(ids: readonly string[]): readonly DirectUpstream[] {
    return ids.flatMap((id) => this.#options.board.findUpstream(id) ?? []);
  }

  /**
   * Creates the refusal of a request that has not run, with a delay after which capacity is
   * expected.
   *
   * @param maxDelayMs longest Retry-After delay that leaves the caller time for another attempt
   */
  createRefusal(denial: AdmissionDenial, maxDelayMs: number, nowMs: number): Refusal {
    if (denial === AdmissionDenial.NoUpstream) return this.#refusals.createNoUpstream();
    const isStalled = denial === AdmissionDenial.Stalled || this.#breaker.isOpen;
    if (isStalled) return this.#refusals.createStalled(maxDelayMs);
    const { admissionIntervalMs: intervalMs } = this.capacity;
    const backoffMs = this.#readBackoffMs(nowMs);
    if (backoffMs === undefined) return this.#refusals.createFull(maxDelayMs, intervalMs, nowMs);
    return this.#refusals.createBackingOff(backoffMs, maxDelayMs, intervalMs, nowMs);
  }

  #readBackoffMs(nowMs: number): number | undefined {
    return readBackoffMs(this.#options.board, this.#pool.name, nowMs);
  }

  /**
   * Handles a request while no upstream is available: queues it where one stops backing off in
   * time.
   */
  #admitDuringBackoff(ticket: AdmissionTicket, ahead: number, nowMs: number): void {
    const backoffMs = this.#readBackoffMs(nowMs);
    if (backoffMs === undefined) ticket.onDenied(AdmissionDenial.NoUpstream);
    else if (backoffMs > ticket.waitBudgetMs) ticket.onDenied(AdmissionDenial.Full);
    else this.#enqueue(ticket, ahead, backoffMs);
  }

  /**
   * Whether a request leaves the free slots to requests of workspaces below their share: to those
   * of the same priority if its own workspace holds its share, and to more urgent ones in any case.
   * Where requests are admitted by priority over all entries, only those of workspaces that hold
   * their share yield here; {@link PoolUrgency.mayTake} leaves slots to more urgent ones.
   */
  #isYielding({ claim, priority }: AdmissionTicket, nowMs: number): boolean {
    const { fairness } = this.#options.board;
    const { name } = this.#pool;
    if (!claim || !fairness.isContended(name, nowMs)) return false;
    const isAbove = fairness.findExcess(name, claim, nowMs) !== undefined;
    if (this.#urgency && !isAbove) return false;
    const pending = fairness.countPending(name, isAbove ? priority : priority - 1, nowMs);
    return this.capacity.isReservedFor(pending, nowMs);
  }

  /**
   * Whether a new request yields. One in {@link YIELD_CYCLE} of those of workspaces below their
   * share does not, so that more urgent classes leave each class its part.
   */
  #isNewYielding(ticket: AdmissionTicket, nowMs: number): boolean {
    if (!this.#isYielding(ticket, nowMs)) return false;
    if (this.#options.board.fairness.findExcess(this.#pool.name, ticket.claim, nowMs)) return true;
    this.#yieldCount = (this.#yieldCount + 1) % YIELD_CYCLE;
    return this.#yieldCount > 0;
  }

  /**
   * Estimates the time until a request is admitted, from what waits at all entries where that is
   * known. A workspace below its share gets the next slot that any entry frees.
   */
  #estimateWaitMs(ticket: AdmissionTicket, ahead: number, nowMs: number): number {
    const { fairness } = this.#options.board;
    const { name } = this.#pool;
    const { claim, priority } = ticket;
    const ownMs =
      this.#estimateByUrgencyMs(ticket, ahead, nowMs) ?? this.capacity.estimateWaitMs(ahead, nowMs);
    if (!claim || !fairness.isContended(name, nowMs)) return ownMs;
    if (fairness.findExcess(name, claim, nowMs)) return ownMs;
    const fleetAhead = fairness.countPending(name, priority, nowMs);
    return Math.min(ownMs, this.capacity.estimateFleetWaitMs(fleetAhead, nowMs) ?? ownMs);
  }

  #estimateByUrgencyMs(ticket: AdmissionTicket, ahead: number, nowMs: number): number | undefined {
    const intervalMs = this.#urgency && this.capacity.readReleaseIntervalMs(nowMs);
    if (intervalMs === undefined) return undefined;
    const resources = [
      { free: this.capacity.countOfferedSlots(nowMs), intervalMs },
      { free: this.capacity.countFreePrefills(), intervalMs: this.capacity.prefillIntervalMs },
    ];
    return this.#urgency?.estimateWaitMs(ticket, ahead, resources, nowMs);
  }

  /** Records that a request was refused. */
  noteDenied(ticket: AdmissionTicket, denial: AdmissionDenial, nowMs: number): void {
    if (denial !== AdmissionDenial.Full || !ticket.claim) return;
    const { fairness } = this.#options.board;
    const excess = fairness.findExcess(this.#pool.name, ticket.claim, nowMs);
    if (excess) this.#shareTelemetry.noteRefused(ticket.claim.workspace, excess, nowMs);
    fairness.noteRefused(this.#pool.name, ticket, nowMs);
  }

  /** Records that a request was sent to an upstream. */
  noteStart(nowMs: number, claim?: WorkspaceClaim): void {
    this.cost?.noteChoice(nowMs);
    this.#options.board.fairness.addInFlight(this.#pool.name, claim, 1);
    this.#activity.noteStart(nowMs);
  }

  /** Records the first output of a response, and the time since the request was sent. */
  noteFirstOutput(tookMs: number, nowMs: number): void {
    this.capacity.noteFirstOutput(tookMs);
    this.#noteOutput(nowMs);
    this.#urgency?.notePrefilled();
    this.#admitQueued(true);
  }

  /**
   * Records a pause between two events of a stream.
   *
   * @param upstream undefined where the caller's slowness has made the pause longer
   */
  notePause(
    pauseMs: number,
    targetMs: number,
    nowMs: number,
    upstream: DirectUpstream | undefined,
  ): void {
    if (!upstream || this.#isOfPool(upstream, pauseMs, nowMs)) {
      this.capacity.notePause(pauseMs, targetMs, nowMs);
      this.#activity.notePause(pauseMs);
    }
    this.#noteOutput(nowMs);
  }

  /** Whether a pause tells about the whole pool, not only about a slow upstream. */
  #isOfPool(upstream: DirectUpstream, pauseMs: number, nowMs: number): boolean {
    const load = this.#options.board.countLoad(upstream, nowMs);
    return this.cost?.notePause(upstream, pauseMs, load, nowMs) ?? true;
  }

  /** Records that an attempt has ended and its slot is free. */
  noteEnd(claim?: WorkspaceClaim): void {
    this.#options.board.fairness.addInFlight(this.#pool.name, claim, -1);
    this.#activity.noteEnd();
    this.#admitQueued(true);
  }

  /** Records that an upstream declined a request, or that its response broke off. */
  noteFailure(): void {
    if (this.#pool.engine) this.#breaker.noteFailure();
  }

  /** Records the outcome of a caller's first attempt, where priorities differ. */
  noteOutcome(priority: number, outcome: AttemptOutcome): void {
    if (!this.#urgency) return;
    this.#urgencyTelemetry.noteOutcome(priority, outcome, performance.now());
  }

  /** Admits queued requests as far as there is capacity. */
  readonly #admitWaiting = (): void => this.#admitQueued(false);

  /** @param isOwnRelease whether this entry has just released a slot */
  #admitQueued(isOwnRelease: boolean): void {
    clearTimeout(this.#admitTimer);
    this.#admitTimer = undefined;
    this.#offerConfirmations();
    const nowMs = performance.now();
    let admittedCount = 0;
    for (let next = this.#queue.first; next; next = this.#queue.first) {
      const upstream = this.#placeQueued(next, isOwnRelease && admittedCount === 0, nowMs);
      if (!upstream) break;
      this.#queue.dequeue(next.id);
      next.onAdmitted(upstream);
      admittedCount += 1;
    }
    this.#tellWaiting();
    if (this.#queue.size > 0) this.#admitTimer ??= setTimeout(this.#admitWaiting, RECHECK_MS);
  }

  #placeQueued(
    ticket: AdmissionTicket,
    isOwnRelease: boolean,
    nowMs: number,
  ): DirectUpstream | undefined {
    if (this.#isSilent(nowMs) || !this.#breaker.tryPass(nowMs, QUEUED_PROBE_MS)) return undefined;
    if (this.#isYielding(ticket, nowMs)) return undefined;
    return this.#placeTicket(ticket, true, isOwnRelease, nowMs).upstream;
  }

  /** Places a request where its turn has come among the requests of all entries. */
  #placeTicket(
    ticket: AdmissionTicket,
    isQueued: boolean,
    isOwnRelease: boolean,
    nowMs: number,
  ): PlacementResult {
    const result = this.#place(new Set(), nowMs, ticket.cost, ticket.isLate);
    if (!this.#urgency || !result.upstream) return result;
    const rank = readUrgencyRank(ticket);
    const equal = this.#queue.list().filter((each) => readUrgencyRank(each) === rank);
    const offer = {
      freeSlots: Math.min(
        this.capacity.countOfferedSlots(nowMs),
        this.capacity.countFreePrefills(),
      ),
      ownEqual: equal.length,
      isQueued,
      isOwnRelease,
    };
    return this.#urgency.mayTake(ticket, offer, nowMs)
      ? result
      : { ...result, upstream: undefined };
  }

  #place(
    excluded: ReadonlySet<string>,
    nowMs: number,
    cost: RequestCost | undefined,
    isLate = false,
  ): PlacementResult {
    const { board, random } = this.#options;
    const isReserved = isLate && this.capacity.isReservedForOnTime(nowMs);
    if (isReserved || this.capacity.isPrefillFull || this.capacity.isFull(nowMs)) {
      return { upstream: undefined, availableCount: 1 };
    }
    const result = choosePlacement(board, {
      pool: this.#pool.name,
      excluded,
      limit: Math.ceil(this.capacity.limitPerUpstream),
      startsPerS: this.capacity.startsPerS,
      nowMs,
      weights: cost?.isDeclared ? this.#weigh(cost, nowMs) : undefined,
      draw: () => random.next(),
    });
    if (!result.upstream) this.capacity.noteLimitReached();
    return result;
  }

  #weigh(cost: RequestCost, nowMs: number): WorkWeights | undefined {
    const { board } = this.#options;
    return this.cost?.createWeights(cost, {
      passMs: this.meanPauseMs,
      peers: board.livePeers.size,
      countLoad: (upstream) => board.countLoad(upstream, nowMs),
      nowMs,
    });
  }

  /** @param expectedMs estimated time until admission; undefined while the pool is stalled */
  #enqueue(ticket: AdmissionTicket, ahead: number, expectedMs?: number): void {
    this.#write(LogLevel.Routine, 'Request waits for capacity.', {
      id: ticket.id,
      ahead,
      expectedMs: expectedMs === undefined ? undefined : Math.round(expectedMs),
      budgetMs: Math.round(ticket.waitBudgetMs),
      limit: this.capacity.limitPerUpstream,
      isLate: ticket.isLate,
      isStalled: this.#breaker.isOpen,
    });
    this.#queue.add(ticket);
    this.#admitTimer ??= setTimeout(this.#admitWaiting, RECHECK_MS);
  }

  /**
   * Whether a pool of engines, which emit events with every pass, has been silent for several
   * passes.
   */
  #isSilent(nowMs: number): boolean {
    if (!this.#pool.engine) return false;
    return this.#activity.isSilent(nowMs, POOL_SILENCE_MS, SILENT_REQUESTS_MIN);
  }

  #noteOutput(nowMs: number): void {
    this.#activity.noteOutput(nowMs);
    this.#breaker.noteSuccess();
  }

  #write(level: LogLevel, sentence: string, fields: LogFields = {}): void {
    const { log } = this.#options;
    log.write(level, LOG_PART, sentence, { pool: this.#pool.name, ...fields });
  }
}
