/** The system under test: entry processes, and stand-ins for all that they connect to. */
import { StoreStandin } from '@radishbay/fleet-platform/standin/storeStandin.js';

import type { SoakRecord } from '../record/soakRecord.js';

import { Operators } from './operators.js';
import { SoakEntry } from './soakEntry.js';
import { DOMAINS, Upstreams } from './upstreams.js';

/** Range of the second octet of loopback addresses; it depends on the process id of the soak. */
const SECOND_OCTET_MIN = 16;
const SECOND_OCTET_COUNT = 200;

/** Number of values of the last octet; further entries reuse them. */
const LAST_OCTET_COUNT = 200;

export interface FleetOptions {
  readonly entryCount: number;
  readonly seed: number;
  /** Folder for settings files and logs. */
  readonly folder: string;
  readonly record: SoakRecord;
}

function createAddress(at: number): string {
  const secondOctet = SECOND_OCTET_MIN + (process.pid % SECOND_OCTET_COUNT);
  const thirdOctet = Math.floor(process.pid / SECOND_OCTET_COUNT) % 256;
  return `127.${secondOctet}.${thirdOctet}.${1 + (at % LAST_OCTET_COUNT)}`;
}

/** Entries, upstreams, store and operators of one run. */
export class SoakFleet {
  readonly store = new StoreStandin();

  readonly upstreams: Upstreams;

  readonly operators: Operators;

  readonly #options: FleetOptions;

  #entries: readonly SoakEntry[] = [];

  constructor(options: FleetOptions) {
    this.#options = options;
    this.upstreams = new Upstreams(options.record, options.seed);
    this.operators = new Operators(this.store, options.record);
    this.store.translateSpec = (spec) => this.#translateSpec(spec);
  }

  get entries(): readonly SoakEntry[] {
    return this.#entries;
  }

  /** Starts everything; does not wait until entries are ready. */
  async start(): Promise<void> {
    const storePort = await this.store.start();
    await this.upstreams.start();
    this.upstreams.all.forEach((upstream) => this.operators.register(upstream));
    this.operators.changeConfig();
    const { entryCount, folder } = this.#options;
    this.#entries = Array.from(
      { length: entryCount },
      (_, at) =>
        new SoakEntry({
          name: `entry-${at + 1}`,
          address: createAddress(at),
          domain: DOMAINS[at % DOMAINS.length] ?? '',
          storePort,
          folder,
        }),
    );
    await Promise.all(this.#entries.map((entry) => entry.prepare()));
    await Promise.all(this.#entries.map((entry) => entry.start()));
  }

  async stop(): Promise<void> {
    await Promise.all(this.#entries.map((entry) => entry.stop()));
    await Promise.all([this.upstreams.stop(), this.store.stop()]);
  }

  /** Rewrites the address in a registry record so that entries connect through relays. */
  #translateSpec(spec: unknown): unknown {
    if (typeof spec !== 'object' || spec === null || !('address' in spec)) return spec;
    const { address } = spec;
    if (typeof address !== 'string') return spec;
    const translated = this.#entries.reduce((seen, entry) => entry.translateAddress(seen), address);
    return { ...spec, address: translated };
  }
}
