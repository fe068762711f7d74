/** What operators and the platform write to the store, with the time from which each bound runs. */
import type { StoreStandin } from '@radishbay/fleet-platform/standin/storeStandin.js';
import { createSoakConfig } from '@radishbay/fleet-platform/standin/wireSamples.js';

import { ChangeKind } from '../record/observation.js';
import type { SoakRecord } from '../record/soakRecord.js';

import { MODELS, type SoakUpstream } from './upstreams.js';

/** Writes to the store; it answers the operators whatever entries see of it. */
export class Operators {
  readonly #store: StoreStandin;

  readonly #record: SoakRecord;

  #generation = 0;

  constructor(store: StoreStandin, record: SoakRecord) {
    this.#store = store;
    this.#record = record;
  }

  get generation(): number {
    return this.#generation;
  }

  /** Writes the next generation of the configuration. */
  changeConfig(): void {
    this.#generation += 1;
    this.#store.putConfig(createSoakConfig(this.#generation * 3, this.#generation));
    this.#recordChange(ChangeKind.ConfigGeneration, String(this.#generation));
  }

  closeDomain(domain: string): void {
    this.#store.closeDomain(domain);
    this.#recordChange(ChangeKind.DomainClosed, domain);
  }

  openDomain(domain: string): void {
    this.#store.openDomain(domain);
    this.#recordChange(ChangeKind.DomainOpened, domain);
  }

  /** Enters an upstream into the registry as it is now. */
  register(upstream: SoakUpstream): void {
    const { worker, pool, domain, linkPort } = upstream;
    worker.sequence += 1;
    this.#store.putUpstream(worker.id, worker.createEntry(pool, domain, linkPort));
    this.#recordChange(
      worker.isLeaving ? ChangeKind.UpstreamLeaving : ChangeKind.UpstreamRegistered,
      worker.id,
    );
  }

  /** Takes an upstream out of the registry. */
  unregister({ worker }: SoakUpstream): void {
    this.#store.removeUpstream(worker.id);
  }

  /** An upstream is cold from now on, whether or not it tells; only models bear less then. */
  recordCold({ worker, pool }: SoakUpstream): void {
    if (pool === MODELS) this.#recordChange(ChangeKind.UpstreamCold, worker.id);
  }

  recordWarm({ worker, pool }: SoakUpstream): void {
    if (pool === MODELS) this.#recordChange(ChangeKind.UpstreamWarm, worker.id);
  }

  #recordChange(kind: ChangeKind, subject: string): void {
    this.#record.recordChange({ kind, subject, atMs: performance.now() });
  }
}
