/** Queue of the requests of one pool that wait for admission, in order of admission. */
import { FairTags } from '../limits/fairTags.js';

import type { RequestCost } from './cost/requestCost.js';
import type { DirectUpstream } from './directUpstream.js';
import type { WorkspaceClaim } from './sharing/workspaceClaim.js';

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
  /** Predicted work; undefined where the pool's engines have no configured costs. */
  readonly cost?: RequestCost | undefined;
  /** Undefined where the configuration does not have several workspaces. */
  readonly claim?: WorkspaceClaim | undefined;
  readonly onAdmitted: (upstream: DirectUpstream) => void;
  readonly onDenied: (denial: AdmissionDenial) => void;
}

interface Waiter {
  readonly ticket: AdmissionTicket;
  readonly startTag: number;
  readonly timer: NodeJS.Timeout;
}

/** What determines the position of a request in the queue. */
type Position = Pick<Waiter, 'ticket' | 'startTag'>;

/** Requests among which fair tags decide. */
function formatLevel({ isLate, priority }: AdmissionTicket): string {
  return `${isLate} ${priority}`;
}

function readSpan({ work, share }: WorkspaceClaim): number {
  return work / share;
}

/** Connections of a queue to the state of its pool. */
export interface AdmissionQueueOptions {
  readonly onSizeChange?: (size: number) => void;
  /** Called with 1 when a request begins to wait, and with -1 when it no longer does. */
  readonly onWaiting?: (ticket: AdmissionTicket, change: 1 | -1) => void;
  /** Whether the request's workspace holds its share of a pool that is short of capacity. */
  readonly isAboveShare?: (ticket: AdmissionTicket) => boolean;
}

/**
 * Orders requests that can still be on time first, then by priority, then those of workspaces below
 * their share, then fairly among workspaces, then by arrival.
 */
export class AdmissionQueue {
  readonly #waiters: Waiter[] = [];

  readonly #tags = new Map<string, FairTags>();

  readonly #options: AdmissionQueueOptions;

  constructor(options: AdmissionQueueOptions = {}) {
    this.#options = options;
  }

  get size(): number {
    return this.#waiters.length;
  }

  /** The request that is admitted next. */
  get first(): AdmissionTicket | undefined {
    const [head, ...others] = this.#waiters;
    if (!head) return undefined;
    return others.reduce((least, each) => (this.#isBefore(each, least) ? each : least), head)
      .ticket;
  }

  /** All queued requests, in order of admission. */
  list(): readonly AdmissionTicket[] {
    return this.#waiters.map(({ ticket }) => ticket);
  }

  /** Number of queued requests that are admitted before this one. */
  countAhead(ticket: AdmissionTicket): number {
    const { claim } = ticket;
    const startTag = claim ? (this.#tags.get(formatLevel(ticket))?.peek(claim.workspace) ?? 0) : 0;
    const candidate = { ticket, startTag };
    return this.#waiters.filter((waiter) => !this.#isBefore(candidate, waiter)).length;
  }

  /** Queues a request until it is admitted or its wait budget is used up. */
  add(ticket: AdmissionTicket): void {
    const timer = setTimeout(() => {
      this.remove(ticket.id);
      ticket.onDenied(AdmissionDenial.Full);
    }, ticket.waitBudgetMs);
    this.#waiters.push({ ticket, timer, startTag: this.#assignTag(ticket) });
    this.#noteChange(ticket, 1);
  }

  /** Removes a request that is admitted. */
  dequeue(id: string): void {
    const waiter = this.#extract(id);
    if (!waiter) return;
    this.#tags.get(formatLevel(waiter.ticket))?.noteServed(waiter.startTag, this.size);
    this.#noteChange(waiter.ticket, -1);
  }

  /** Removes a request that is not admitted; does nothing if it is not queued. */
  remove(id: string): void {
    const waiter = this.#extract(id);
    if (!waiter) return;
    const { ticket, startTag } = waiter;
    const { claim } = ticket;
    const tags = this.#tags.get(formatLevel(ticket));
    if (claim) tags?.revoke(claim.workspace, startTag, readSpan(claim));
    this.#noteChange(ticket, -1);
  }

  #isBefore(a: Position, b: Position): boolean {
    if (a.ticket.isLate !== b.ticket.isLate) return b.ticket.isLate;
    if (a.ticket.priority !== b.ticket.priority) return a.ticket.priority < b.ticket.priority;
    const isAbove = this.#isAboveShare(a.ticket);
    if (isAbove !== this.#isAboveShare(b.ticket)) return !isAbove;
    if (a.startTag !== b.startTag) return a.startTag < b.startTag;
    return a.ticket.arrivedAtMs < b.ticket.arrivedAtMs;
  }

  #isAboveShare(ticket: AdmissionTicket): boolean {
    return this.#options.isAboveShare?.(ticket) ?? false;
  }

  /** Requests without a claim have equal tags, so that their arrival decides. */
  #assignTag(ticket: AdmissionTicket): number {
    const { claim } = ticket;
    if (!claim) return 0;
    const level = formatLevel(ticket);
    const tags = this.#tags.get(level) ?? new FairTags();
    this.#tags.set(level, tags);
    return tags.assign(claim.workspace, readSpan(claim));
  }

  #extract(id: string): Waiter | undefined {
    const at = this.#waiters.findIndex(({ ticket }) => ticket.id === id);
    if (at < 0) return undefined;
    const [waiter] = this.#waiters.splice(at, 1);
    clearTimeout(waiter?.timer);
    return waiter;
  }

  #noteChange(ticket: AdmissionTicket, change: 1 | -1): void {
    // Without waiting requests, tags order nothing.
    if (this.size === 0) this.#tags.clear();
    this.#options.onWaiting?.(ticket, change);
    this.#options.onSizeChange?.(this.size);
  }
}
