/** Requests of one pool that wait for their turn, in the order of their turns. */
import type { Refusal } from '../model/reason.js';

import type { DirectUpstream } from './directUpstream.js';

/** A request that asks for an upstream. */
export interface Ticket {
  readonly id: string;
  /** 0 goes first. */
  readonly priority: number;
  /** Whether it was refused before and has come back. */
  readonly isReturned: boolean;
  /** Span from now in which it has to be sent; it is refused where that cannot be. */
  readonly waitBudgetMs: number;
  /** Longest time after which the caller can be asked to come back. */
  readonly returnLimitMs: number;
  readonly arrivedAtMs: number;
  readonly onTurn: (upstream: DirectUpstream) => void;
  readonly onRefused: (refusal: Refusal) => void;
}

interface Waiter {
  readonly ticket: Ticket;
  readonly timer: NodeJS.Timeout;
}

function isBefore(a: Ticket, b: Ticket): boolean {
  if (a.isReturned !== b.isReturned) return b.isReturned;
  if (a.priority !== b.priority) return a.priority < b.priority;
  return a.arrivedAtMs < b.arrivedAtMs;
}

/** Those that can still be on time go first, then by priority, then by arrival. */
export class TurnQueue {
  readonly #waiters: Waiter[] = [];

  get size(): number {
    return this.#waiters.length;
  }

  /** The one whose turn comes next. */
  get first(): Ticket | undefined {
    return this.#waiters[0]?.ticket;
  }

  /** Waiters that go before a request. */
  countAhead(ticket: Ticket): number {
    return this.#waiters.filter((waiter) => !isBefore(ticket, waiter.ticket)).length;
  }

  /** Lets a request wait; it is taken out and handed over when its budget is over. */
  add(ticket: Ticket, onExpired: (ticket: Ticket) => void): void {
    const timer = setTimeout(() => {
      this.remove(ticket.id);
      onExpired(ticket);
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
