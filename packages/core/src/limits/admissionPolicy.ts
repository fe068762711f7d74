/** Interface of admission control: admits a request, queues it, or refuses it. */
import type { Refusal } from '../model/reason.js';
import type { Result } from '../outcome.js';

/** A request that asks for admission. */
export interface AdmissionTicket {
  readonly requestId: string;
  readonly pool: string;
  readonly className: string;
  readonly workspace: string;
  /** Share of the workspace relative to others of the same priority. */
  readonly weight: number;
  /** Lower numbers are admitted first; 0 is the highest priority. */
  readonly priority: number;
  readonly deadlineAtMs: number;
  /** Largest number of requests in this pool's queue. */
  readonly queueLimit: number;
  /** Aborted when the request no longer needs admission. */
  readonly signal: AbortSignal;
}

/** The right to have one request in flight. */
export interface AdmissionPermit {
  /** Returns the permit; further calls have no effect. */
  release(): void;
}

/** Decides which requests may be in flight. */
export abstract class AdmissionPolicy {
  /**
   * Waits until the request is admitted.
   *
   * @returns a permit, or a refusal as soon as the request cannot be admitted in time
   */
  abstract enter(ticket: AdmissionTicket): Promise<Result<AdmissionPermit, Refusal>>;

  /**
   * Sets how many requests of this entry may be in flight in a pool.
   *
   * @param limit while it is 0, no request is admitted
   */
  abstract setInFlightLimit(pool: string, limit: number): void;

  /** Requests waiting for a pool. */
  abstract countWaiting(pool: string): number;

  /** Requests of a pool that hold a permit. */
  abstract countInFlight(pool: string): number;

  /**
   * Records how long a request held its permit, until its answer was complete or its deadline
   * passed.
   */
  abstract observeService(pool: string, className: string, serviceMs: number): void;
}
