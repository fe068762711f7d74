/** Writes of operators and the platform to the store, recorded with their times for the checks. */
import type { StoreStandin } from '@radishbay/fleet-platform/standin/storeStandin.js';
import { createSoakConfig } from '@radishbay/fleet-platform/standin/wireSamples.js';

import { ChangeKind } from '../record/observation.js';
import type { SoakRecord } from '../record/soakRecord.js';

import { MODELS, type SoakUpstream } from './upstreams.js';

/** Writes to the store directly, unaffected by store faults that entries see. */
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

  /** Writes an upstream's current state to the registry. */
  register(upstream: SoakUpstream): void {
    const { worker, pool, domain, linkPort } = upstream;
    worker.sequence += 1;
    this.#store.putUpstream(worker.id, worker.createEntry(pool, domain, linkPort));
    this.#recordChange(
      worker.isLeaving ? ChangeKind.UpstreamLeaving : ChangeKind.UpstreamRegistered,
      worker.id,
    );
  }

  /** Removes an upstream from the registry. */
  unregister({ worker }: SoakUpstream): void {
    this.#store.removeUpstream(worker.id);
  }

  /** Records that an upstream is cold, announced or not; only model ranks have a cold limit. */
  recordCold({ worker, pool }: SoakUpstream): void {
    if (pool === MODELS) this.#recordChange(ChangeKind.UpstreamCold, worker.id);
  }

  recordWarm({ worker, pool }: SoakUpstream): void {
    if (pool === MODELS) this.#recordChange(ChangeKind.UpstreamWarm, worker.id);
  }

  recordLimit({ worker }: SoakUpstream, limitPerS: number): void {
    this.#recordChange(ChangeKind.UpstreamLimited, worker.id, { limitPerS });
  }

  recordLimitEnd({ worker }: SoakUpstream): void {
    this.#recordChange(ChangeKind.UpstreamUnlimited, worker.id);
  }

  #recordChange(kind: ChangeKind, subject: string, fields: { limitPerS?: number } = {}): void {
    this.#record.recordChange({ kind, subject, atMs: performance.now(), ...fields });
  }
}
