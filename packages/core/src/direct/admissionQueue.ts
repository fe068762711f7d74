/** Requests of one pool that wait for their turn, in the order of their turns. */
import type { DirectUpstream } from './directUpstream.js';

/** Why a request gets no turn. */
export enum AdmissionDenial {
  /** The pool's group answers nobody. */
  Stalled = 'stalled',
  /** There is no room in time. */
  Full = 'full',
  /** All upstreams are leaving, closed or gone. */
  NoUpstream = 'no-upstream',
}

/** A request that asks for an upstream. */
export interface AdmissionTicket {
  readonly id: string;
  /** 0 goes first. */
  readonly priority: number;
  /** Whether it cannot be on time any more: it was refused before, or its answer broke off. */
  readonly isLate: boolean;
  /** Span from now in which it has to be sent; it is refused where that cannot be. */
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

/** Those that can still be on time go first, then by priority, then by arrival. */
export class AdmissionQueue {
  readonly #waiters: Waiter[] = [];

  get size(): number {
    return this.#waiters.length;
  }

  /** The one whose turn comes next. */
  get first(): AdmissionTicket | undefined {
    return this.#waiters[0]?.ticket;
  }

  /** Waiters that go before a request. */
  countAhead(ticket: AdmissionTicket): number {
    return this.#waiters.filter((waiter) => !isBefore(ticket, waiter.ticket)).length;
  }

  /** Lets a request wait until its turn comes or its budget is over. */
  add(ticket: AdmissionTicket): void {
    const timer = setTimeout(() => {
      this.remove(ticket.id);
      ticket.onDenied(AdmissionDenial.Full);
    }, ticket.waitBudgetMs);
    this.#waiters.splice(this.countAhead(ticket), 0, { ticket, timer });
  }

  /** Takes a request out, if it waits. */
  remove(id: string): void {
    const at = this.#waiters.findIndex(({ ticket }) => ticket.id === id);
    if (at < 0) return;
    const [waiter] = this.#waiters.splice(at, 1);
    clearTimeout(waiter?.timer);
  }
}
