/**
 * The requests of one pool: those that wait, and those that are in flight.
 *
 * The pool's room is the concurrency of a p-queue; a request keeps its place until it releases it.
 * A request that waits is turned away as soon as its answer can no longer be whole in time.
 */
import PQueue from 'p-queue';

import { refuseNotRun } from '../entry/refusal.js';
import { RefusalReason, type Refusal } from '../model/reason.js';
import { Err, Ok, type Result } from '../outcome.js';

import type { AdmissionPermit, AdmissionTicket } from './admissionPolicy.js';
import { FairQueue, type FairQueueOptions } from './fairQueue.js';
import { ReturnTimes } from './returnTimes.js';
import { ServiceTimes } from './serviceTimes.js';

/** Time between two checks of all waiting requests against the measured rates. */
const JUDGE_MS = 100;

/** Part of the forecast wait that counts against a request that waits already. */
const JUDGED_PART = 0.75;

const LEFT = refuseNotRun(RefusalReason.CallerGone, 0, 'the request left before its turn');

type Turn = Result<AdmissionPermit, Refusal>;

/** A request that waits. */
interface Waiter {
  readonly ticket: AdmissionTicket;
  /** Time from its arrival to its deadline. */
  readonly budgetMs: number;
  readonly dismiss: (refusal: Refusal) => void;
}

/** Makes p-queue use a queue that can also be asked for positions. */
function createQueueClass(queue: FairQueue): new () => FairQueue {
  return function useQueue() {
    return queue;
  } as unknown as new () => FairQueue;
}

/** Queue and measured rates of one pool. */
export class PoolQueue {
  readonly #waiting = new FairQueue();

  readonly #queue: PQueue<FairQueue, FairQueueOptions>;

  /** Waiting requests by id. */
  readonly #waiters = new Map<string, Waiter>();

  readonly #times = new ServiceTimes();

  readonly #returns = new ReturnTimes();

  #room = 0;

  #judgedAtMs = Number.NEGATIVE_INFINITY;

  constructor() {
    const queueClass = createQueueClass(this.#waiting);
    this.#queue = new PQueue<FairQueue, FairQueueOptions>({ queueClass, autoStart: false });
  }

  /** Requests that wait. */
  get size(): number {
    return this.#waiting.size;
  }

  /** Requests that hold a permit. */
  get inFlight(): number {
    return this.#queue.pending;
  }

  /** Changes how many requests may be in flight. */
  setRoom(room: number): void {
    const hasFallen = room < this.#room;
    if (room === this.#room) return;
    this.#room = room;
    if (room < 1) {
      this.#queue.pause();
    } else {
      this.#queue.concurrency = room;
      this.#queue.start();
    }
    if (hasFallen) this.#judgeWaiting(Date.now());
  }

  /** Takes the time in for which a request held its place. */
  observeService(className: string, serviceMs: number): void {
    this.#times.add(className, serviceMs);
    this.#judgeSometimes();
  }

  /**
   * Waits for the turn of a request.
   *
   * @returns a permit, or a refusal as soon as the turn cannot come in time
   */
  enter(ticket: AdmissionTicket): Promise<Turn> {
    const refusal = this.#findRefusal(ticket);
    if (refusal) return Promise.resolve(Err(refusal));
    const turn = this.#wait(ticket);
    this.#judgeSometimes();
    return turn;
  }

  #findRefusal(ticket: AdmissionTicket): Refusal | undefined {
    const nowMs = Date.now();
    const waitMs = this.#forecastWaitMs(this.#waiting.countAhead(ticket));
    const budgetMs = ticket.deadlineAtMs - nowMs;
    if (waitMs > 0 && waitMs + this.#times.readLong(ticket.className) > budgetMs) {
      return this.#refuseUnreachable(ticket, budgetMs, waitMs);
    }
    if (this.size < ticket.queueLimit) return undefined;
    const victim = this.#waiters.get(this.#waiting.findVictim(ticket) ?? '');
    if (!victim) return this.#refuseFull(waitMs);
    victim.dismiss(this.#refuseFull(this.#forecastWaitMs(this.size)));
    return undefined;
  }

  /** Expected time until the turn of a request; 0 where a place is free for it. */
  #forecastWaitMs(ahead: number): number {
    const turns = ahead + 1 - (this.#room - this.#queue.pending);
    return Math.max(0, turns) * this.#turnMs;
  }

  /** Time between two turns at the measured rates. */
  get #turnMs(): number {
    return this.#times.meanMs / Math.max(1, this.#room);
  }

  /**
   * It may come back once the work that is ahead of it leaves it enough of its time, and a turn to
   * spare, as the forecast counts whole turns.
   */
  #refuseUnreachable(ticket: AdmissionTicket, budgetMs: number, waitMs: number): Refusal {
    const neededMs = waitMs + this.#turnMs + this.#times.readLong(ticket.className);
    const earliestMs = neededMs - budgetMs;
    const retryAfterMs = this.#returns.choose(earliestMs, this.#turnMs, Date.now());
    const detail = 'by the measured rates the deadline cannot be met';
    return refuseNotRun(RefusalReason.DeadlineUnreachable, retryAfterMs, detail);
  }

  #refuseFull(waitMs: number): Refusal {
    const retryAfterMs = this.#returns.choose(waitMs, this.#turnMs, Date.now());
    return refuseNotRun(RefusalReason.QueueFull, retryAfterMs, 'the queue is full');
  }

  #wait(ticket: AdmissionTicket): Promise<Turn> {
    const { requestId: id, workspace, priority, signal: left, className } = ticket;
    const weight = ticket.weight / this.#times.readCost(className);
    const abort = new AbortController();
    return new Promise((resolve) => {
      const leave = () => this.#waiters.get(id)?.dismiss(LEFT);
      const timer = this.#watchDeadline(ticket);
      const forget = () => {
        clearTimeout(timer);
        left.removeEventListener('abort', leave);
        this.#waiters.delete(id);
      };
      const dismiss = (refusal: Refusal) => {
        forget();
        resolve(Err(refusal));
        abort.abort();
      };
      const hold = () => {
        forget();
        return new Promise<void>((release) => {
          resolve(Ok({ release }));
        });
      };
      this.#waiters.set(id, { ticket, budgetMs: ticket.deadlineAtMs - Date.now(), dismiss });
      left.addEventListener('abort', leave, { once: true });
      const { signal } = abort;
      this.#queue.add(hold, { id, workspace, weight, priority, signal }).catch(() => {});
    });
  }

  /** Turns a request away when it has only its service time left. */
  #watchDeadline(ticket: AdmissionTicket): NodeJS.Timeout {
    const latestAtMs = ticket.deadlineAtMs - this.#times.readLong(ticket.className);
    return setTimeout(() => this.#dismissLate(ticket.requestId, 0), latestAtMs - Date.now());
  }

  #dismissLate(id: string, waitMs: number): void {
    const waiter = this.#waiters.get(id);
    if (!waiter) return;
    waiter.dismiss(this.#refuseUnreachable(waiter.ticket, waiter.budgetMs, waitMs));
  }

  #judgeSometimes(): void {
    const nowMs = Date.now();
    if (this.size === 0 || nowMs - this.#judgedAtMs < JUDGE_MS) return;
    this.#judgeWaiting(nowMs);
  }

  /** Turns away the waiting requests whose turns come too late. */
  #judgeWaiting(nowMs: number): void {
    this.#judgedAtMs = nowMs;
    let ahead = 0;
    this.#waiting.listIds().forEach((id) => {
      const waitMs = this.#forecastWaitMs(ahead);
      if (this.#isLate(id, waitMs * JUDGED_PART, nowMs)) this.#dismissLate(id, waitMs);
      else ahead += 1;
    });
  }

  #isLate(id: string, waitMs: number, nowMs: number): boolean {
    const ticket = this.#waiters.get(id)?.ticket;
    if (!ticket || waitMs <= 0) return false;
    return nowMs + waitMs + this.#times.readLong(ticket.className) > ticket.deadlineAtMs;
  }
}
