/** Queue of the requests of one pool that wait for admission, in order of admission. */
import type { DirectUpstream } from './directUpstream.js';

/** Why a request is not admitted. */
export enum AdmissionDenial {
  /** The pool's group does not respond. */
  Stalled = 'stalled',
  /** No capacity is expected in time. */
  Full = 'full',
  /** All upstreams are leaving, in closed failure domains, or gone. */
  NoUpstream = 'no-upstream',
}

/** A request that asks for admission. */
export interface AdmissionTicket {
  readonly id: string;
  /** 0 is the highest priority. */
  readonly priority: number;
  /**
   * Whether the request can no longer be on time: it was refused before, or its response broke off.
   */
  readonly isLate: boolean;
  /**
   * Time from now within which the request has to be sent; it is refused when that time is over.
   */
  readonly waitBudgetMs: number;
  readonly arrivedAtMs: number;
  readonly onAdmitted: (upstream: DirectUpstream) => void;
  readonly onDenied: (denial: AdmissionDenial) => void;
}

interface Waiter {
  readonly ticket: AdmissionTicket;
  readonly timer: NodeJS.Timeout;
}

function isBefore(a: AdmissionTicket, b: AdmissionTicket): boolean {
  if (a.isLate !== b.isLate) return b.isLate;
  if (a.priority !== b.priority) return a.priority < b.priority;
  return a.arrivedAtMs < b.arrivedAtMs;
}

/** Orders requests that can still be on time first, then by priority, then by arrival. */
export class AdmissionQueue {
  readonly #waiters: Waiter[] = [];

  readonly #onSizeChange: (size: number) => void;

  constructor(onSizeChange: (size: number) => void = () => {}) {
    this.#onSizeChange = onSizeChange;
  }

  get size(): number {
    return this.#waiters.length;
  }

  /** The request that is admitted next. */
  get first(): AdmissionTicket | undefined {
    return this.#waiters[0]?.ticket;
  }

  /** All queued requests, in order of admission. */
  list(): readonly AdmissionTicket[] {
    return this.#waiters.map(({ ticket }) => ticket);
  }

  /** Number of queued requests that are admitted before this one. */
  countAhead(ticket: AdmissionTicket): number {
    return this.#waiters.filter((waiter) => !isBefore(ticket, waiter.ticket)).length;
  }

  /** Queues a request until it is admitted or its wait budget is used up. */
  add(ticket: AdmissionTicket): void {
    const timer = setTimeout(() => {
      this.remove(ticket.id);
      ticket.onDenied(AdmissionDenial.Full);
    }, ticket.waitBudgetMs);
    this.#waiters.splice(this.countAhead(ticket), 0, { ticket, timer });
    this.#onSizeChange(this.size);
  }

  /** Removes a request from the queue; does nothing if it is not queued. */
  remove(id: string): void {
    const at = this.#waiters.findIndex(({ ticket }) => ticket.id === id);
    if (at < 0) return;
    const [waiter] = this.#waiters.splice(at, 1);
    clearTimeout(waiter?.timer);
    this.#onSizeChange(this.size);
  }
}
