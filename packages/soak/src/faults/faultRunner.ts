/** Injects the faults of a plan at their planned times. */
import type { Random } from '@radishbay/core/ports/random.js';
import { wait } from '@radishbay/core/wait.js';

import type { SoakFleet } from '../fleet/soakFleet.js';
import { DOMAINS } from '../fleet/upstreams.js';
import { FaultKind, type Fault } from '../plan/fault.js';
import type { FaultTimeline } from '../record/faultTimeline.js';
import type { SoakRecord } from '../record/soakRecord.js';

import { floodEntry } from './callerFaults.js';
import { EntryFaults } from './entryFaults.js';
import { StoreFaults } from './storeFaults.js';
import { UpstreamFaults } from './upstreamFaults.js';

/** Fraction of the orders to ranks that are lost and then carried out late. */
const LATE_ORDERS_RATIO = 0.35;

/** Shortest closing of a domain; longer than the limit after which it must get no requests. */
const DOMAIN_CLOSED_MIN_MS = 7_000;

export interface FaultRunnerOptions {
  readonly fleet: SoakFleet;
  readonly record: SoakRecord;
  readonly faultTimeline: FaultTimeline;
  readonly random: Random;
  readonly stopLimitMs: number;
  readonly onFailedStop: (detail: string) => void;
  /** Called when a fault begins. */
  readonly onFault: (fault: Fault, subject: string) => void;
}

function pick<T>(list: readonly T[], at: number): T {
  const item = list[at % list.length];
  if (item === undefined) throw new Error('cannot choose a fault target: the list is empty');
  return item;
}

/** Dispatches each fault to the entry, upstream, store or operators that it concerns. */
export class FaultRunner {
  readonly #options: FaultRunnerOptions;

  readonly #entries: EntryFaults;

  readonly #upstreams: UpstreamFaults;

  readonly #store: StoreFaults;

  readonly #closedDomains = new Set<string>();

  constructor(options: FaultRunnerOptions) {
    this.#options = options;
    const { fleet, faultTimeline, random } = options;
    this.#entries = new EntryFaults(options);
    this.#upstreams = new UpstreamFaults({ ...fleet, faultTimeline, random });
    this.#store = new StoreFaults(fleet.store, faultTimeline, random);
  }

  /** Injects all faults and waits for the end of the last one. */
  async run(plan: readonly Fault[]): Promise<void> {
    await Promise.all(
      plan.map(async (fault) => {
        await wait(fault.atMs);
        await this.#inject(fault);
      }),
    );
  }

  #inject(fault: Fault): Promise<void> {
    const { fleet } = this.#options;
    if (fault.kind === FaultKind.ConfigChange) return this.#changeConfig(fault);
    if (fault.kind === FaultKind.DomainClose) return this.#closeDomain(fault);
    if (fault.kind === FaultKind.OrdersLate) return this.#delayOrders(fault);
    if (fault.kind.startsWith('upstream')) {
      const upstream = pick(fleet.upstreams.all, fault.target);
      this.#reportFault(fault, upstream.worker.id);
      return this.#upstreams.inject(fault, upstream);
    }
    if (fault.kind.startsWith('store-') && !fault.kind.startsWith('store-link')) {
      this.#reportFault(fault, 'store');
      return this.#store.inject(fault);
    }
    const entry = pick(fleet.entries, fault.target);
    this.#reportFault(fault, entry.name);
    if (fault.kind === FaultKind.CallerFlood) return floodEntry(fault, entry);
    return this.#entries.inject(fault, entry);
  }

  /** Writes a new configuration and moves the demand to other experts. */
  async #changeConfig(fault: Fault): Promise<void> {
    const { operators, upstreams } = this.#options.fleet;
    this.#reportFault(fault, 'main');
    upstreams.hotExpert += 1;
    operators.changeConfig();
  }

  async #closeDomain(fault: Fault): Promise<void> {
    const { operators } = this.#options.fleet;
    const domain = pick(DOMAINS, fault.target);
    if (this.#closedDomains.size > 0) return;
    this.#closedDomains.add(domain);
    this.#reportFault(fault, domain);
    operators.closeDomain(domain);
    await wait(DOMAIN_CLOSED_MIN_MS + fault.forMs);
    operators.openDomain(domain);
    this.#closedDomains.delete(domain);
  }

  async #delayOrders(fault: Fault): Promise<void> {
    const { group } = this.#options.fleet.upstreams;
    this.#reportFault(fault, 'ranks');
    group.lateFraction = LATE_ORDERS_RATIO;
    await wait(fault.forMs);
    group.lateFraction = 0;
  }

  #reportFault(fault: Fault, subject: string): void {
    this.#options.onFault(fault, subject);
  }
}
