/** Does the faults of a plan at their times. */
import type { Random } from '@radishbay/core/ports/random.js';
import { wait } from '@radishbay/core/wait.js';

import type { SoakFleet } from '../fleet/soakFleet.js';
import { DOMAINS } from '../fleet/upstreams.js';
import { FaultKind, type Fault } from '../plan/fault.js';
import type { SoakRecord } from '../record/soakRecord.js';
import type { TouchBook } from '../record/faultTimeline.js';

import { EntryFaults } from './entryFaults.js';
import { StoreFaults } from './storeFaults.js';
import { UpstreamFaults } from './upstreamFaults.js';

/** Part of the orders to ranks that are lost and carried out late. */
const LATE_ORDERS_PART = 0.35;

/** Time for which a domain is closed at least: beyond the bound within which it gets nothing. */
const CLOSED_MIN_MS = 7_000;

export interface FaultRunnerOptions {
  readonly fleet: SoakFleet;
  readonly record: SoakRecord;
  readonly touch: TouchBook;
  readonly random: Random;
  readonly stopLimitMs: number;
  readonly onBadStop: (detail: string) => void;
  /** Hears of each fault as it begins. */
  readonly onFault: (fault: Fault, subject: string) => void;
}

function pick<T>(list: readonly T[], at: number): T {
  const item = list[at % list.length];
  if (item === undefined) throw new Error('a fault has nothing to choose from');
  return item;
}

/** Faults of one run. */
export class FaultRunner {
  readonly #options: FaultRunnerOptions;

  readonly #entries: EntryFaults;

  readonly #upstreams: UpstreamFaults;

  readonly #store: StoreFaults;

  readonly #closed = new Set<string>();

  constructor(options: FaultRunnerOptions) {
    this.#options = options;
    const { fleet, touch, random } = options;
    this.#entries = new EntryFaults(options);
    this.#upstreams = new UpstreamFaults({ ...fleet, touch, random });
    this.#store = new StoreFaults(fleet.store, touch, random);
  }

  /** Does all faults and waits for the end of the last one. */
  async run(plan: readonly Fault[]): Promise<void> {
    await Promise.all(
      plan.map(async (fault) => {
        await wait(fault.atMs);
        await this.#do(fault);
      }),
    );
  }

  #do(fault: Fault): Promise<void> {
    const { fleet } = this.#options;
    if (fault.kind === FaultKind.ConfigChange) return this.#changeConfig(fault);
    if (fault.kind === FaultKind.DomainClose) return this.#closeDomain(fault);
    if (fault.kind === FaultKind.OrdersLate) return this.#loseOrders(fault);
    if (fault.kind.startsWith('upstream')) {
      const upstream = pick(fleet.upstreams.all, fault.target);
      this.#tell(fault, upstream.worker.id);
      return this.#upstreams.run(fault, upstream);
    }
    if (fault.kind.startsWith('store-') && !fault.kind.startsWith('store-link')) {
      this.#tell(fault, 'store');
      return this.#store.run(fault);
    }
    const entry = pick(fleet.entries, fault.target);
    this.#tell(fault, entry.name);
    return this.#entries.run(fault, entry);
  }

  /** Demand for experts turns as well. */
  async #changeConfig(fault: Fault): Promise<void> {
    const { operators, upstreams } = this.#options.fleet;
    this.#tell(fault, 'main');
    upstreams.hotExpert += 1;
    operators.changeConfig();
  }

  async #closeDomain(fault: Fault): Promise<void> {
    const { operators } = this.#options.fleet;
    const domain = pick(DOMAINS, fault.target);
    if (this.#closed.size > 0) return;
    this.#closed.add(domain);
    this.#tell(fault, domain);
    operators.closeDomain(domain);
    await wait(CLOSED_MIN_MS + fault.forMs);
    operators.openDomain(domain);
    this.#closed.delete(domain);
  }

  async #loseOrders(fault: Fault): Promise<void> {
    const { group } = this.#options.fleet.upstreams;
    this.#tell(fault, 'ranks');
    group.lostPart = LATE_ORDERS_PART;
    await wait(fault.forMs);
    group.lostPart = 0;
  }

  #tell(fault: Fault, subject: string): void {
    this.#options.onFault(fault, subject);
  }
}
