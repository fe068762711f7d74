/**
 * The requests of one pool: those that wait, and those that are in flight.
 *
 * The pool's room is the concurrency of a p-queue; a request keeps its place until it releases it.
 */
import PQueue from 'p-queue';

import { Err, Ok, type Result } from '../outcome.js';
import type { Refusal } from '../model/reason.js';

import type { AdmissionPermit, AdmissionTicket } from './admissionPolicy.js';
import { FairQueue, type FairQueueOptions } from './fairQueue.js';

/** Weight of the newest time in a smoothed one. */
const SMOOTHING = 0.1;

/** Weight of the newest time between turns: places come free in bursts. */
const TURN_SMOOTHING = 0.02;

type Turn = Result<AdmissionPermit, Refusal>;

/** @param oldValue 0 before the first */
function smooth(oldValue: number, newest: number, weight = SMOOTHING): number {
  return oldValue === 0 ? newest : oldValue + weight * (newest - oldValue);
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

  /** Ways to turn waiting requests away, by id. */
  readonly #dismissals = new Map<string, (refusal: Refusal) => void>();

  /** Smoothed service times by class. */
  readonly #serviceMs = new Map<string, number>();

  /** Smoothed service time of all classes; 0 before the first. */
  #poolServiceMs = 0;

  /** Smoothed time between two turns while somebody waits; 0 before the first. */
  #turnMs = 0;

  /** Time from which on somebody has been waiting for the next turn. */
  #turnAtMs: number | undefined;

  #room = 0;

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
    if (room === this.#room) return;
    this.#room = room;
    if (room < 1) {
      this.#queue.pause();
      return;
    }
    this.#queue.concurrency = room;
    this.#queue.start();
  }

  /** Takes the time in for which a request held its place. */
  observeService(className: string, serviceMs: number): void {
    this.#poolServiceMs = smooth(this.#poolServiceMs, serviceMs);
    this.#serviceMs.set(className, smooth(this.#serviceMs.get(className) ?? 0, serviceMs));
  }

  /**
   * Expected time until the turn of a new request; 0 where a place is free for it. It goes by the
   * turns seen while others waited, and by room and service time before there were any; a pool
   * that serves at all has a turn within a service time, however long it was out before.
   */
  estimateWaitMs(ticket: AdmissionTicket): number {
    const freePlaces = this.#room - this.#queue.pending;
    const turns = this.#waiting.countAhead(ticket) + 1 - freePlaces;
    if (turns <= 0) return 0;
    const serviceTurnMs = this.#poolServiceMs / Math.max(1, this.#room);
    return turns * Math.min(this.#turnMs || serviceTurnMs, this.#poolServiceMs || this.#turnMs);
  }

  /** Expected time of service of a class; 0 before the first was seen. */
  readServiceMs(className: string): number {
    return this.#serviceMs.get(className) ?? 0;
  }

  /**
   * Turns a waiting request away to make place for a new one with a better claim.
   *
   * @returns whether one was turned away
   */
  makePlace(ticket: AdmissionTicket, refusal: Refusal): boolean {
    const victim = this.#waiting.findVictim(ticket);
    const dismiss = victim === undefined ? undefined : this.#dismissals.get(victim);
    dismiss?.(refusal);
    return dismiss !== undefined;
  }

  /**
   * Waits for the turn of a request, until it is turned away or its signal says that it left.
   *
   * @param late refusal where too little time is left once the turn comes
   */
  wait(ticket: AdmissionTicket, left: Refusal, late: Refusal): Promise<Turn> {
    const { requestId: id, workspace, weight, priority } = ticket;
    const abort = new AbortController();
    const askedAtMs = Date.now();
    if (this.size === 0 && this.inFlight >= this.#room) this.#turnAtMs ??= askedAtMs;
    return new Promise((resolve) => {
      const dismiss = (refusal: Refusal) => {
        resolve(Err(refusal));
        abort.abort();
      };
      const leave = () => dismiss(left);
      const hold = () => {
        ticket.signal.removeEventListener('abort', leave);
        if (this.#isLate(ticket, askedAtMs)) return this.#skip(id, () => resolve(Err(late)));
        return this.#hold(id, (permit) => resolve(Ok(permit)));
      };
      this.#dismissals.set(id, dismiss);
      ticket.signal.addEventListener('abort', leave, { once: true });
      const { signal } = abort;
      this.#queue.add(hold, { id, workspace, weight, priority, signal }).catch(() => {
        this.#dismissals.delete(id);
        if (this.size === 0) this.#turnAtMs = undefined;
      });
    });
  }

  /** Whether a request that had to wait has too little time left for its service. */
  #isLate({ className, deadlineAtMs }: AdmissionTicket, askedAtMs: number): boolean {
    const nowMs = Date.now();
    return nowMs > askedAtMs && nowMs + this.readServiceMs(className) > deadlineAtMs;
  }

  #observeTurn(): void {
    const nowMs = Date.now();
    if (this.#turnAtMs !== undefined) {
      this.#turnMs = smooth(this.#turnMs, nowMs - this.#turnAtMs, TURN_SMOOTHING);
    }
    this.#turnAtMs = this.size > 0 ? nowMs : undefined;
  }

  #skip(id: string, onSkip: () => void): Promise<void> {
    this.#dismissals.delete(id);
    onSkip();
    return Promise.resolve();
  }

  #hold(id: string, onTurn: (permit: AdmissionPermit) => void): Promise<void> {
    this.#dismissals.delete(id);
    this.#observeTurn();
    return new Promise((release) => {
      onTurn({ release });
    });
  }
}
