/** Two entries and a group of ranks: real nodes over in-memory links, on one fake clock. */
import { ConfigKind, PoolKind, formatConfigKey } from '@radishbay/core/config/object.js';
import { EntryNode } from '@radishbay/core/entry/entryNode.js';
import { RankAction } from '@radishbay/core/groups/rankOrder.js';
import { MessageType, type Message } from '@radishbay/core/messages/message.js';
import { QueryKind, type QueryRow } from '@radishbay/core/model/query.js';
import { DEFAULT_TIMING } from '@radishbay/core/model/timing.js';
import { CountingMetrics } from '@radishbay/core/ports/countingMetrics.js';
import { Random } from '@radishbay/core/ports/random.js';
import { SilentLog } from '@radishbay/core/ports/silentLog.js';
import { SideNode } from '@radishbay/core/side/sideNode.js';
import { EntryBoard } from '@radishbay/core/state/entryBoard.js';
import { SideBoard } from '@radishbay/core/state/sideBoard.js';
import {
  NO_FAULT,
  LinkFaultKind,
  LinkFaultInjector,
  type LinkFault,
  type LinkEvent,
} from '@radishbay/link/memory/linkFaults.js';
import { MemoryDialer } from '@radishbay/link/memory/memoryDialer.js';

import { RankGroup } from '../../src/group/rankGroup.js';
import { ProcessDialer } from '../../src/matrix/process/processDialer.js';
import { ProcessLink } from '../../src/matrix/process/processLink.js';
import { ProcessStore } from '../../src/matrix/process/processStore.js';
import { SimClock } from '../../src/matrix/process/simClock.js';
import { SimProcess } from '../../src/matrix/process/simProcess.js';
import { MemoryObjectStore } from '../../src/platform/memoryStore.js';
import { StoreFault } from '../../src/platform/storeFault.js';
import { PublishingEngine, type StagedMaps } from './publishingEngine.js';

export const RANKS = 4;

const GROUP = 'choir';
const ENTRIES = ['entry-1', 'entry-2'];
const STEP_MS = 50;
const LINK_TOKEN = 'group-link-token';
const COMMON = {
  log: new SilentLog(),
  timing: DEFAULT_TIMING,
  linkToken: LINK_TOKEN,
};

const SWITCH_ACTIONS: ReadonlySet<string> = new Set([
  RankAction.Hold,
  RankAction.Switch,
  RankAction.Release,
]);

/** Decides the fate of a message of a switch; messages are numbered from 0. */
type SwitchFate = (index: number, event: LinkEvent) => LinkFault;

interface EntryHandle {
  readonly name: string;
  readonly process: SimProcess;
  readonly node: EntryNode;
}

function addressOfEntry(name: string): string {
  return `127.0.0.1:${20_000 + Number(name.split('-')[1])}`;
}

/** Port of the side process of rank 0. */
const SIDE_PORT = 10_000;

function addressOfRank(rank: number): string {
  return `127.0.0.1:${SIDE_PORT + rank}`;
}

/** Fate with which a message is lost, and for some kinds its link too. */
export function loseMessage(kind: LinkFaultKind): LinkFault {
  return { kind, extraDelayMs: 0 };
}

/** Simulated group over links that counts the switch messages and can inject a fault at each. */
export class LinkedGroup extends LinkFaultInjector {
  readonly clock = new SimClock(1_700_000_000_000);

  readonly metrics = new CountingMetrics();

  readonly platform = new MemoryObjectStore('test');

  readonly group = new RankGroup({ ranks: RANKS, isFencingChecked: true, stepMs: STEP_MS });

  readonly entries = new Map<string, EntryHandle>();

  /** Number of switch messages since the group first stepped. */
  switchMessages = 0;

  #chooseSwitchFault: SwitchFate | undefined;

  readonly #network = new MemoryDialer({ delayMs: 1, faults: this });

  readonly #random: Random;

  readonly #staged: StagedMaps = new Map();

  readonly #stores: MemoryObjectStore[] = [];

  readonly #switchOrders = new Set<string>();

  /** Pairs of a sender and an address to which its messages are lost. */
  readonly #lostPairs = new Set<string>();

  readonly #sides = new Map<number, SimProcess>();

  #startCount = 0;

  constructor(seed: number) {
    super();
    this.#random = new Random(seed);
    this.#writeConfig();
    this.group.engines.forEach((_, rank) => this.startSide(rank));
    ENTRIES.forEach((name) => this.#startEntry(name));
  }

  override decide(event: LinkEvent): LinkFault {
    const sender = SimProcess.caller?.name;
    if (this.#lostPairs.has(`${sender} ${event.address}`)) return loseMessage(LinkFaultKind.Drop);
    if (this.group.steps === 0 || !this.#isSwitchMessage(event.message)) return NO_FAULT;
    const index = this.switchMessages;
    this.switchMessages += 1;
    return this.#chooseSwitchFault?.(index, event) ?? NO_FAULT;
  }

  /** Sets the function that decides the fate of the switch messages. */
  setSwitchFate(decide: SwitchFate): void {
    this.#chooseSwitchFault = decide;
  }

  /** Name of the entry that reports to operators that it coordinates. */
  get coordinator(): string | undefined {
    return [...this.entries.keys()].find((name) => this.describe(name)?.phase !== 'standby');
  }

  /** The row for operators in which an entry describes the group. */
  describe(entry: string): QueryRow | undefined {
    return this.entries.get(entry)?.node.query(QueryKind.Groups, {})[0];
  }

  /** Number of steps started in the last `spanMs`. */
  countSteps(spanMs: number): number {
    const sinceMs = Date.now() - spanMs;
    return this.group.record.filter((step) => step.startedAtMs > sinceMs).length;
  }

  /** Versions of the maps that the group has stepped with. */
  get mapsUsed(): ReadonlySet<number> {
    return new Set(this.group.record.flatMap((step) => step.versions));
  }

  /** Rank whose side process listens at an address. */
  findRank(address: string): number {
    return this.group.engines.findIndex((_, rank) => addressOfRank(rank) === address);
  }

  killEntry(name: string): void {
    this.entries.get(name)?.process.kill();
    this.entries.delete(name);
  }

  /** Shuts an entry down gracefully; resolves when it has stopped. */
  async stopEntry(name: string): Promise<void> {
    const entry = this.entries.get(name);
    if (!entry) return;
    const { node, process } = entry;
    process.run(() => node.beginStop());
    await process.run(() => node.drain());
    process.run(() => node.stop());
    this.killEntry(name);
  }

  /** Drops all messages from an entry to a rank from now on. */
  dropMessages(entry: string, rank: number): void {
    this.#lostPairs.add(`${entry} ${addressOfRank(rank)}`);
  }

  /** Writes the group's configuration with rebalancing paused or not. */
  writeGroup(isRebalancePaused: boolean): void {
    const shape = { ranks: RANKS, layers: 2, expertsPerLayer: 8, slotsPerRank: 3 };
    const memory = { expertBytes: 1_000, spareExperts: 10 };
    this.#put(ConfigKind.Group, GROUP, { pool: 'chat', ...shape, ...memory, isRebalancePaused });
  }

  /** Kills the side process of a rank and starts a new one after `downMs`. */
  restartSide(rank: number, downMs: number): void {
    this.#sides.get(rank)?.kill();
    SimProcess.outside(() => setTimeout(() => this.startSide(rank), downMs));
  }

  /** Makes all platform calls fail from now on. */
  breakPlatform(): void {
    this.#stores.forEach((store) => store.setFault(StoreFault.Unavailable));
  }

  startSide(rank: number): void {
    const process = new SimProcess(`side-${rank}`);
    const node = process.run(() => {
      const board = new SideBoard(`rank-${rank}`, this.#nextIncarnation('side'), 'zone-a');
      const engine = new PublishingEngine(this.group, rank, this.#staged);
      const random = this.#drawRandom();
      const { metrics } = this;
      return new SideNode({ ...COMMON, board, engine, random, metrics, isPlain: false });
    });
    this.#listen(addressOfRank(rank), process, node);
    process.run(() => node.start());
    this.#sides.set(rank, process);
  }

  /** Kills all processes and restores the real clock. */
  dispose(): void {
    [...this.#sides.values()].forEach((process) => process.kill());
    [...this.entries.keys()].forEach((name) => this.killEntry(name));
    this.clock.dispose();
  }

  #startEntry(name: string): void {
    const process = new SimProcess(name);
    const address = addressOfEntry(name);
    const store = this.platform.connect(name);
    store.delayMs = 4;
    this.#stores.push(store);
    const node = process.run(
      () =>
        new EntryNode({
          ...COMMON,
          board: new EntryBoard(name, this.#nextIncarnation(name), 'zone-a', 'main'),
          store: new ProcessStore(store, process),
          dialer: new ProcessDialer(this.#network, process),
          random: this.#drawRandom(),
          metrics: this.metrics,
          address,
          seedAddresses: ENTRIES.filter((other) => other !== name).map(addressOfEntry),
        }),
    );
    this.#listen(address, process, { attach: (link) => node.attachPeer(link) });
    process.run(() => node.start());
    this.entries.set(name, { name, process, node });
  }

  #listen(address: string, process: SimProcess, node: Pick<SideNode, 'attach'>): void {
    this.#network.listen(address, (link) =>
      process.post(() => node.attach(new ProcessLink(link, process))),
    );
    process.onDeath(() => this.#network.stopListening(address));
  }

  #nextIncarnation(prefix: string): string {
    this.#startCount += 1;
    return `${prefix}-run-${this.#startCount}`;
  }

  #drawRandom(): Random {
    return new Random(this.#random.nextInt(2 ** 31));
  }

  /** Whether a message is an order of a switch or the reply to one. */
  #isSwitchMessage(message: Message): boolean {
    if (message.type === MessageType.GroupReply) return this.#switchOrders.has(message.orderId);
    if (message.type !== MessageType.GroupOrder) return false;
    if (!SWITCH_ACTIONS.has(message.action)) return false;
    this.#switchOrders.add(message.orderId);
    return true;
  }

  #writeConfig(): void {
    this.#put(ConfigKind.Pool, 'chat', { kind: PoolKind.Model });
    this.#put(ConfigKind.Domain, 'zone-a', {});
    this.writeGroup(false);
    this.group.engines.forEach((_, rank) => {
      const place = { pool: 'chat', domain: 'zone-a', group: GROUP, rank };
      const limits = { warmLimit: 50, coldLimit: 20 };
      this.#put(ConfigKind.Upstream, `rank-${rank}`, {
        ...place,
        ...limits,
        address: addressOfRank(rank),
      });
    });
  }

  #put(kind: ConfigKind, name: string, value: object): void {
    const key = formatConfigKey(kind, name);
    const version = this.platform.objects.get(key)?.version ?? 0;
    this.platform.objects.put(key, { name, ...value }, version).unwrap();
  }
}
