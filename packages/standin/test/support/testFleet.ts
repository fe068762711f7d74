import {
  ConfigKind,
  DomainState,
  formatConfigKey,
  PoolKind,
} from '@radishbay/core/config/object.js';
import { DEFAULT_TIMING, type Timing } from '@radishbay/core/model/timing.js';
import { CountingMetrics } from '@radishbay/core/ports/countingMetrics.js';
import { Random } from '@radishbay/core/ports/random.js';
import { SilentLog } from '@radishbay/core/ports/silentLog.js';
import { SideNode } from '@radishbay/core/side/sideNode.js';
import { SideBoard } from '@radishbay/core/state/sideBoard.js';

import { MemoryObjectStore } from '../../src/platform/memoryStore.js';
import { NodeClock } from './nodeClock.js';
import { RecordingEngine } from './recordingEngine.js';
import { TestEntry } from './testEntry.js';
import { TestNetwork } from './testNetwork.js';

export const DOMAINS = ['zone-a', 'zone-b', 'zone-c'];

export interface TestSide {
  readonly node: string;
  readonly domain: string;
  readonly board: SideBoard;
  readonly engine: RecordingEngine;
}

export interface TestFleetOptions {
  readonly timing: Timing;
  readonly upstreamsPerDomain: number;
  /** Whether entries begin work wherever they may. */
  readonly isProbing: boolean;
}

const DEFAULT_OPTIONS: TestFleetOptions = {
  timing: DEFAULT_TIMING,
  upstreamsPerDomain: 1,
  isProbing: true,
};

/** Entries and side processes in one process, with upstreams in each failure domain. */
export class TestFleet {
  readonly clock = new NodeClock();

  readonly network = new TestNetwork(this.clock);

  readonly platform = new MemoryObjectStore('test');

  readonly entries = new Map<string, TestEntry>();

  readonly sides: TestSide[] = [];

  readonly timing: Timing;

  readonly #seed: number;

  readonly #options: TestFleetOptions;

  #starts = 0;

  constructor(seed: number, entryCount: number, options: Partial<TestFleetOptions> = {}) {
    this.#seed = seed;
    this.#options = { ...DEFAULT_OPTIONS, ...options };
    this.timing = this.#options.timing;
    this.#writeConfig();
    this.#listPlaces().forEach((domain, index) => this.#startSide(domain, index));
    for (let index = 0; index < entryCount; index += 1) this.startEntry(`entry-${index}`);
  }

  /** Starts an entry, or starts it anew after {@link killEntry}. */
  startEntry(name: string): TestEntry {
    this.#starts += 1;
    const index = Number(name.split('-')[1]);
    const entry = new TestEntry({
      clock: this.clock,
      network: this.network,
      platform: this.platform,
      timing: this.timing,
      isProbing: this.#options.isProbing,
      seed: this.#seed + this.#starts,
      node: `${name}#${this.#starts}`,
      name,
      address: `127.0.0.1:${8000 + index}`,
      seedAddresses: [0, 1, 2].map((other) => `127.0.0.1:${8000 + other}`),
    });
    this.entries.set(name, entry);
    return entry;
  }

  entry(index: number): TestEntry {
    const entry = this.entries.get(`entry-${index}`);
    if (!entry) throw new Error(`no entry ${index}`);
    return entry;
  }

  /** Ends an entry without a word. */
  killEntry(index: number): void {
    const name = `entry-${index}`;
    this.clock.kill(this.entry(index).node);
    this.network.unlisten(`127.0.0.1:${8000 + index}`);
    this.entries.delete(name);
  }

  /** Writes a domain's state in the platform past all entries. */
  writeDomain(name: string, state: DomainState): number {
    const key = formatConfigKey(ConfigKind.Domain, name);
    const version = this.platform.objects.get(key)?.version ?? 0;
    return this.platform.objects.put(key, { name, state }, version).unwrap();
  }

  readDomain(index: number, name: string): DomainState | undefined {
    return this.entry(index).board.config.get(ConfigKind.Domain, name)?.state;
  }

  side(domain: string): TestSide {
    const side = this.sides.find((one) => one.domain === domain);
    if (!side) throw new Error(`no side process in ${domain}`);
    return side;
  }

  async advance(spanMs: number): Promise<void> {
    await this.clock.advance(spanMs);
  }

  end(): void {
    this.clock.uninstall();
  }

  #put(kind: ConfigKind, name: string, value: object): void {
    this.platform.objects.put(formatConfigKey(kind, name), { name, ...value }, 0).unwrap();
  }

  /** Failure domain of each upstream. */
  #listPlaces(): readonly string[] {
    return DOMAINS.flatMap((domain) =>
      new Array<string>(this.#options.upstreamsPerDomain).fill(domain),
    );
  }

  #writeConfig(): void {
    this.#put(ConfigKind.Pool, 'chat', { kind: PoolKind.Model });
    DOMAINS.forEach((domain) => this.#put(ConfigKind.Domain, domain, {}));
    this.#listPlaces().forEach((domain, index) => {
      this.#put(ConfigKind.Upstream, `worker-${index}`, {
        pool: 'chat',
        domain,
        address: `127.0.0.1:${7000 + index}`,
        warmLimit: 50,
        coldLimit: 20,
      });
    });
  }

  #startSide(domain: string, index: number): void {
    const node = `worker-${index}`;
    const board = new SideBoard(node, `${node}#1`, domain);
    const engine = new RecordingEngine();
    this.clock.run(node, () => {
      const side = new SideNode({
        board,
        engine,
        random: new Random(this.#seed),
        log: new SilentLog(),
        metrics: new CountingMetrics(),
        timing: this.timing,
        linkToken: 'secret',
        isPlain: false,
      });
      side.start();
      this.network.listen(node, `127.0.0.1:${7000 + index}`, (link) => side.attach(link));
    });
    this.sides.push({ node, domain, board, engine });
  }
}
