/**
 * Queue and in-flight limit of one pool.
 *
 * The in-flight limit is the concurrency of a p-queue; a request occupies a slot until it releases
 * its permit. A waiting request is refused as soon as its answer can no longer be complete by its
 * deadline.
 */
import PQueue from 'p-queue';

import { refuseNotRun } from '../entry/refusal.js';
import { RefusalReason, type Refusal } from '../model/reason.js';
import { Err, Ok, type Result } from '../outcome.js';

import type { AdmissionPermit, AdmissionTicket } from './admissionPolicy.js';
import { FairQueue, type FairQueueOptions } from './fairQueue.js';
import { RetryAfterSchedule } from './retryAfterSchedule.js';
import { ServiceTimes } from './serviceTimes.js';

/** Shortest interval between checks of all waiting requests against their deadlines. */
const RECHECK_INTERVAL_MS = 100;

/** Factor applied to the forecast wait of a request that is already queued. */
const QUEUED_WAIT_FACTOR = 0.75;

const CALLER_GONE = refuseNotRun(
  RefusalReason.CallerGone,
  0,
  'the caller disconnected before the request was admitted',
);

type AdmissionResult = Result<AdmissionPermit, Refusal>;

/** A waiting request. */
interface Waiter {
  readonly ticket: AdmissionTicket;
  /** Time from entering the queue to the deadline. */
  readonly budgetMs: number;
  readonly refuse: (refusal: Refusal) => void;
}

/** Makes p-queue use the given queue instance, so that its positions can be queried. */
function createQueueClass(queue: FairQueue): new () => FairQueue {
  return function useQueue() {
    return queue;
  } as unknown as new () => FairQueue;
}

/** Admits, queues and refuses the requests of one pool. */
export class PoolQueue {
  readonly #waiting = new FairQueue();

  readonly #queue: PQueue<FairQueue, FairQueueOptions>;

  /** Waiting requests by id. */
  readonly #waiters = new Map<string, Waiter>();

  readonly #serviceTimes = new ServiceTimes();

  readonly #retryAfter = new RetryAfterSchedule();

  #inFlightLimit = 0;

  #recheckedAtMs = Number.NEGATIVE_INFINITY;

  constructor() {
    const queueClass = createQueueClass(this.#waiting);
    this.#queue = new PQueue<FairQueue, FairQueueOptions>({ queueClass, autoStart: false });
  }

  /** Number of waiting requests. */
  get size(): number {
    return this.#waiting.size;
  }

  /** Number of requests that hold a permit. */
  get inFlight(): number {
    return this.#queue.pending;
  }

  /** Sets how many requests may be in flight; below 1, none is admitted. */
  setInFlightLimit(inFlightLimit: number): void {
    const hasFallen = inFlightLimit < this.#inFlightLimit;
    if (inFlightLimit === this.#inFlightLimit) return;
    this.#inFlightLimit = inFlightLimit;
    if (inFlightLimit < 1) {
      this.#queue.pause();
    } else {
      this.#queue.concurrency = inFlightLimit;
      this.#queue.start();
    }
    if (hasFallen) this.#recheckWaiting(Date.now());
  }

  /** Records how long a request held its permit. */
  observeService(className: string, serviceMs: number): void {
    this.#serviceTimes.add(className, serviceMs);
    this.#recheckIfDue();
  }

  /**
   * Waits until a request is admitted.
   *
   * @returns a permit, or a refusal as soon as the request cannot be admitted in time
   */
  enter(ticket: AdmissionTicket): Promise<AdmissionResult> {
    const refusal = this.#findRefusal(ticket);
    if (refusal) return Promise.resolve(Err(refusal));
    const result = this.#wait(ticket);
    this.#recheckIfDue();
    return result;
  }

  /** Finds a reason to refuse a new request; in a full queue, it may evict another one instead. */
  #findRefusal(ticket: AdmissionTicket): Refusal | undefined {
    const nowMs = Date.now();
    const waitMs = this.#forecastWaitMs(this.#waiting.countAhead(ticket));
    const budgetMs = ticket.deadlineAtMs - nowMs;
    if (waitMs > 0 && waitMs + this.#serviceTimes.readUpperBoundMs(ticket.className) > budgetMs) {
      return this.#refuseUnreachable(ticket, budgetMs, waitMs);
    }
    if (this.size < ticket.queueLimit) return undefined;
    const victim = this.#waiters.get(this.#waiting.findVictim(ticket) ?? '');
    if (!victim) return this.#refuseFull(waitMs);
    victim.refuse(this.#refuseFull(this.#forecastWaitMs(this.size)));
    return undefined;
  }

  /** Expected time until a request is admitted; 0 if a slot is free for it. */
  #forecastWaitMs(ahead: number): number {
    const admissions = ahead + 1 - (this.#inFlightLimit - this.#queue.pending);
    return Math.max(0, admissions) * this.#admissionIntervalMs;
  }

  /** Expected time between two admissions, from the measured service times. */
  get #admissionIntervalMs(): number {
    return this.#serviceTimes.meanMs / Math.max(1, this.#inFlightLimit);
  }

  /**
   * Refuses a request that would miss its deadline. Its retry time is when the queue will have
   * shrunk enough for it to finish in time, plus the interval of one admission because the forecast
   * counts whole admissions.
   */
  #refuseUnreachable(ticket: AdmissionTicket, budgetMs: number, waitMs: number): Refusal {
    const neededMs =
      waitMs + this.#admissionIntervalMs + this.#serviceTimes.readUpperBoundMs(ticket.className);
    const earliestMs = neededMs - budgetMs;
    const retryAfterMs = this.#retryAfter.choose(earliestMs, this.#admissionIntervalMs, Date.now());
    const detail = 'the deadline cannot be met at the measured service times';
    return refuseNotRun(RefusalReason.DeadlineUnreachable, retryAfterMs, detail);
  }

  #refuseFull(waitMs: number): Refusal {
    const retryAfterMs = this.#retryAfter.choose(waitMs, this.#admissionIntervalMs, Date.now());
    return refuseNotRun(RefusalReason.QueueFull, retryAfterMs, 'the queue of the pool is full');
  }

  #wait(ticket: AdmissionTicket): Promise<AdmissionResult> {
    const { requestId: id, workspace, priority, signal: callerSignal, className } = ticket;
    const weight = ticket.weight / this.#serviceTimes.readRelativeCost(className);
    const abort = new AbortController();
    return new Promise((resolve) => {
      const onCallerGone = () => this.#waiters.get(id)?.refuse(CALLER_GONE);
      const timer = this.#startDeadlineTimer(ticket);
      const cleanUp = () => {
        clearTimeout(timer);
        callerSignal.removeEventListener('abort', onCallerGone);
        this.#waiters.delete(id);
      };
      const refuse = (refusal: Refusal) => {
        cleanUp();
        resolve(Err(refusal));
        abort.abort();
      };
      const start = () => {
        cleanUp();
        return new Promise<void>((release) => {
          resolve(Ok({ release }));
        });
      };
      this.#waiters.set(id, { ticket, budgetMs: ticket.deadlineAtMs - Date.now(), refuse });
      callerSignal.addEventListener('abort', onCallerGone, { once: true });
      const { signal } = abort;
      this.#queue.add(start, { id, workspace, weight, priority, signal }).catch(() => {});
    });
  }

  /** Refuses a waiting request once the time left is only enough to serve it. */
  #startDeadlineTimer(ticket: AdmissionTicket): NodeJS.Timeout {
    const latestAtMs = ticket.deadlineAtMs - this.#serviceTimes.readUpperBoundMs(ticket.className);
    return setTimeout(() => this.#refuseLate(ticket.requestId, 0), latestAtMs - Date.now());
  }

  #refuseLate(id: string, waitMs: number): void {
    const waiter = this.#waiters.get(id);
    if (!waiter) return;
    waiter.refuse(this.#refuseUnreachable(waiter.ticket, waiter.budgetMs, waitMs));
  }

  #recheckIfDue(): void {
    const nowMs = Date.now();
    if (this.size === 0 || nowMs - this.#recheckedAtMs < RECHECK_INTERVAL_MS) return;
    this.#recheckWaiting(nowMs);
  }

  /** Refuses the waiting requests that would be admitted too late to meet their deadlines. */
  #recheckWaiting(nowMs: number): void {
    this.#recheckedAtMs = nowMs;
    let ahead = 0;
    this.#waiting.listIds().forEach((id) => {
      const waitMs = this.#forecastWaitMs(ahead);
      if (this.#isLate(id, waitMs * QUEUED_WAIT_FACTOR, nowMs)) this.#refuseLate(id, waitMs);
      else ahead += 1;
    });
  }

  #isLate(id: string, waitMs: number, nowMs: number): boolean {
    const ticket = this.#waiters.get(id)?.ticket;
    if (!ticket || waitMs <= 0) return false;
    return (
      nowMs + waitMs + this.#serviceTimes.readUpperBoundMs(ticket.className) > ticket.deadlineAtMs
    );
  }
}
