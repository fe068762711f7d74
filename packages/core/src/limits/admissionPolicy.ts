/** What admission decides: when a request's turn comes, or that it does not come in time. */
import type { Refusal } from '../model/reason.js';
import type { Result } from '../outcome.js';

/** A request that asks for its turn. */
export interface AdmissionTicket {
  readonly requestId: string;
  readonly pool: string;
  readonly className: string;
  readonly workspace: string;
  /** Share of the workspace against others of the same priority. */
  readonly weight: number;
  /** 0 is served first. */
  readonly priority: number;
  readonly deadlineAtMs: number;
  /** Requests of this pool that may wait at once. */
  readonly queueLimit: number;
  /** Aborted where the request need not wait any more. */
  readonly signal: AbortSignal;
}

/** The right to have one request in flight. */
export interface AdmissionPermit {
  /** Gives the right back; further calls do nothing. */
  release(): void;
}

/** Lets requests in by turns. */
export abstract class AdmissionPolicy {
  /**
   * Waits for the request's turn.
   *
   * @returns a permit, or a refusal at once where the turn cannot come in time
   */
  abstract enter(ticket: AdmissionTicket): Promise<Result<AdmissionPermit, Refusal>>;

  /**
   * Tells how many requests of this entry a pool can have in flight now.
   *
   * @param room 0 lets none in until it rises again
   */
  abstract setRoom(pool: string, room: number): void;

  /** Requests waiting for a pool. */
  abstract countWaiting(pool: string): number;

  /** Requests of a pool that hold a permit. */
  abstract countInFlight(pool: string): number;

  /** Tells how long a request held its permit until its answer was whole or its time was up. */
  abstract observeService(pool: string, className: string, serviceMs: number): void;
}
