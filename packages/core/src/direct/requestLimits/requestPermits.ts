/**
 * Permits of an entry for upstreams with request limits, as placement and admission use them.
 *
 * The limits hold for all entries together, so one entry grants the permits of a pool, and each
 * entry sends a limited upstream a request only with a permit.
 */
import type { PermitGrant } from '../../messages/permitMessage.js';

import { HeldPermits } from './heldPermits.js';
import { PoolDemand } from './poolDemand.js';
import type { RequestLimits } from './requestLimits.js';

/** Time for which a permit is valid, in milliseconds. */
const PERMIT_VALID_MS = 600;

/** Age from which the number of requests that wait in all entries is outdated, in milliseconds. */
const FLEET_WAITING_VALID_MS = 1_000;

const MS_PER_SECOND = 1_000;

interface FleetWaiting {
  readonly count: number;
  readonly atMs: number;
}

/** Permits and demand of one entry. */
export class RequestPermits {
  readonly #limits: RequestLimits;

  readonly held = new HeldPermits();

  readonly #demands = new Map<string, PoolDemand>();

  /** Requests that waited for permits in all entries, by pool. */
  readonly #fleetWaiting = new Map<string, FleetWaiting>();

  readonly #listeners = new Map<string, () => void>();

  #onDemand: ((pool: string) => void) | undefined;

  constructor(limits: RequestLimits) {
    this.#limits = limits;
  }

  /** Whether a request may be sent to an upstream now. */
  allows(incarnation: string, nowMs: number): boolean {
    if (this.#limits.find(incarnation) === undefined) return true;
    return this.held.count(incarnation, nowMs) > 0;
  }

  /** Records that a request is sent to an upstream. */
  noteStart(incarnation: string, nowMs: number): void {
    if (this.#limits.find(incarnation) !== undefined) this.held.take(incarnation, nowMs);
  }

  /** Returns this entry's demand for permits of a pool. */
  getDemand(pool: string): PoolDemand {
    const known = this.#demands.get(pool);
    if (known) return known;
    const demand = new PoolDemand();
    demand.onWaiting(() => this.#onDemand?.(pool));
    this.#demands.set(pool, demand);
    return demand;
  }

  /** Sets the listener for requests that begin to wait. */
  onDemand(listener: (pool: string) => void): void {
    this.#onDemand = listener;
  }

  /** Sets the function that admits the waiting requests of a pool when permits arrive. */
  onGranted(pool: string, listener: () => void): void {
    this.#listeners.set(pool, listener);
  }

  removePool(pool: string): void {
    this.#listeners.delete(pool);
    this.#demands.delete(pool);
    this.#fleetWaiting.delete(pool);
  }

  /** Adds permits that were granted to this entry. */
  addGrant({ pool, permits, fleetWaiting }: PermitGrant, nowMs: number): void {
    Object.entries(permits).forEach(([incarnation, count]) =>
      this.held.add(incarnation, count, nowMs + PERMIT_VALID_MS),
    );
    this.#fleetWaiting.set(pool, { count: fleetWaiting, atMs: nowMs });
    if (Object.keys(permits).length > 0) this.#listeners.get(pool)?.();
  }

  /**
   * Requests per second that the limits of all given incarnations allow; undefined where one of
   * them has no limit.
   */
  readTotalPerS(incarnations: readonly string[]): number | undefined {
    if (this.#limits.limitedCount === 0 || incarnations.length === 0) return undefined;
    const limits = incarnations.map((incarnation) => this.#limits.find(incarnation));
    const isAnyFree = limits.some((perS) => perS === undefined);
    return isAnyFree ? undefined : limits.reduce<number>((sum, perS) => sum + (perS ?? 0), 0);
  }

  /**
   * Estimates when a request gets a permit, where all upstreams have limits.
   *
   * @param perS requests per second that all upstreams of the pool take together
   * @param ahead number of requests of this entry that are admitted before it
   */
  estimateWaitMs(pool: string, perS: number, ahead: number, nowMs: number): number {
    const known = this.#fleetWaiting.get(pool);
    const isFresh = known !== undefined && nowMs - known.atMs < FLEET_WAITING_VALID_MS;
    const waiting = Math.max(ahead, isFresh ? known.count : 0);
    return (waiting * MS_PER_SECOND) / perS;
  }
}
