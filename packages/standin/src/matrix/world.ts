/**
 * A small fleet in memory, made of the real decision code: entries, side processes, upstreams.
 *
 * Everything runs on one fake clock with seeded random numbers; every message, platform call and
 * engine call is a numbered event at which a fault can be put.
 */
import { EntryNode } from '@radishbay/core/entry/entryNode.js';
import type { OperatorOrder } from '@radishbay/core/model/order.js';
import { DEFAULT_TIMING } from '@radishbay/core/model/timing.js';
import { CountingMetrics } from '@radishbay/core/ports/countingMetrics.js';
import { Random } from '@radishbay/core/ports/random.js';
import { SilentLog } from '@radishbay/core/ports/silentLog.js';
import { SideNode } from '@radishbay/core/side/sideNode.js';
import { EntryBoard } from '@radishbay/core/state/entryBoard.js';
import { SideBoard } from '@radishbay/core/state/sideBoard.js';
import type { LinkFaultInjector } from '@radishbay/link/memory/linkFaults.js';
import { MemoryDialer } from '@radishbay/link/memory/memoryDialer.js';

import { listObjects, type FleetPlan, type PlannedUpstream } from '../fleet/fleetPlan.js';

import { Balancer } from './fake/balancer.js';
import { EventLog } from './fake/eventLog.js';
import { MemoryCaller } from './fake/memoryCaller.js';
import { MemoryEngine, TAG_HEADER, type Execution } from './fake/memoryEngine.js';
import { ObservedFaults } from './fake/observedFaults.js';
import { ObservedPlatform } from './fake/observedPlatform.js';
import { ProcessDialer } from './process/processDialer.js';
import { ProcessLink } from './process/processLink.js';
import { ProcessStore } from './process/processStore.js';
import { SimClock } from './process/simClock.js';
import { ProcessState, SimProcess } from './process/simProcess.js';

const START_MS = 1_700_000_000_000;
const NETWORK_DELAY_MS = 1;
const WARM_AFTER = 3;
const LINK_TOKEN = 'matrix-link-token';
const SETTLE_LIMIT_MS = 20_000;

/** A request as a scenario sends it. */
export interface WorldRequest {
  /** Tells the request from all others; its answer is made of it. */
  readonly tag: string;
  readonly path: string;
  readonly isStream: boolean;
  readonly idempotencyKey?: string;
  readonly deadlineMs?: number;
}

/** A request that was sent, with its caller. */
export interface SentRequest {
  /** Part of the ids of all attempts at it. */
  readonly id: string;
  readonly request: WorldRequest;
  readonly entry: string;
  readonly caller: MemoryCaller;
  readonly sentAtMs: number;
}

export interface EntryHandle {
  readonly name: string;
  readonly process: SimProcess;
  readonly node: EntryNode;
  readonly board: EntryBoard;
}

export interface SideHandle {
  readonly name: string;
  readonly process: SimProcess;
  readonly node: SideNode;
  readonly board: SideBoard;
}

function addressOfEntry(name: string): string {
  return `127.0.0.1:${20_000 + Number.parseInt(name.replace(/\D/gu, '') || '0', 10)}`;
}

function addressOfSide(name: string): string {
  return `127.0.0.1:${10_000 + Number.parseInt(name.replace(/\D/gu, '') || '0', 10)}`;
}

/** The simulated fleet. */
export class World {
  readonly plan: FleetPlan;

  readonly clock: SimClock;

  readonly events = new EventLog();

  readonly faults = new ObservedFaults(this.events);

  readonly metrics = new CountingMetrics();

  readonly platform = new ObservedPlatform(this.events);

  readonly engines = new Map<string, MemoryEngine>();

  readonly entries = new Map<string, EntryHandle>();

  readonly sides = new Map<string, SideHandle>();

  readonly sent: SentRequest[] = [];

  readonly balancer = new Balancer((name) => this.entries.get(name)?.node.isReady() ?? false);

  /** What a second operator orders, where a scenario has one. */
  readonly secondOrder: OperatorOrder | undefined = undefined;

  /** Faults that have been put on this run. */
  faultCount = 0;

  readonly #network: MemoryDialer;

  readonly #random: Random;

  readonly #addresses: ReadonlyMap<string, string>;

  #unservedCount = 0;

  #lastId = 0;

  #lastRun = 0;

  /** @param traffic decides the fate of messages instead of {@link faults}, for measurements */
  constructor(plan: FleetPlan, seed: number, traffic?: LinkFaultInjector) {
    this.plan = plan;
    const faults = traffic ?? this.faults;
    this.#network = new MemoryDialer({ delayMs: NETWORK_DELAY_MS, faults });
    this.clock = new SimClock(START_MS);
    this.#random = new Random(seed);
    this.#addresses = new Map(
      plan.upstreams.map(({ name }, index) => [name, addressOfSide(String(index + 1))]),
    );
  }

  /** Starts all processes and waits until every entry is ready and every link is up. */
  async start(): Promise<void> {
    listObjects(this.plan, this.#addresses).forEach(({ key, value }) =>
      this.platform.objects.put(key, value, 0).unwrap(),
    );
    this.plan.upstreams.forEach((upstream) => {
      this.engines.set(upstream.name, this.#createEngine(upstream));
      this.startSide(upstream.name);
    });
    this.plan.entries.forEach(({ name }) => this.startEntry(name));
    const isUp = await this.clock.advanceUntil(() => this.isSettled(), SETTLE_LIMIT_MS);
    if (!isUp) throw new Error('the fleet did not come up');
  }

  /** Callers for whom the balancer had no entry. */
  get unservedCount(): number {
    return this.#unservedCount;
  }

  countUnserved(): void {
    this.#unservedCount += 1;
  }

  /** Whether every live entry is ready and linked to every live side process. */
  isSettled(): boolean {
    const sides = [...this.sides.values()].filter(
      ({ process }) => process.state === ProcessState.Running,
    );
    return [...this.entries.values()].every(({ node, board }) => {
      const isLinked = sides.every(({ name }) => board.upstreams.get(name)?.report !== undefined);
      return node.isReady() && isLinked;
    });
  }

  /** Starts an entry, again after its end too. */
  startEntry(name: string): EntryHandle {
    const process = new SimProcess(name);
    const planned = this.plan.entries.find((entry) => entry.name === name);
    const domain = planned?.domain ?? '';
    const handle = process.run(() => {
      const board = new EntryBoard(name, this.#createIncarnation(name), domain, 'main');
      const node = new EntryNode({
        board,
        store: new ProcessStore(this.platform.connect(name), process),
        dialer: new ProcessDialer(this.#network, process),
        random: new Random(this.#random.nextInt(2 ** 31)),
        log: new SilentLog(),
        metrics: this.metrics,
        timing: DEFAULT_TIMING,
        linkToken: LINK_TOKEN,
        address: addressOfEntry(name),
        seedAddresses: this.plan.entries
          .filter((entry) => entry.name !== name)
          .map((entry) => addressOfEntry(entry.name)),
      });
      return { name, process, node, board };
    });
    this.#network.listen(addressOfEntry(name), (link) =>
      process.post(() => handle.node.attachPeer(new ProcessLink(link, process))),
    );
    process.onDeath(() => this.#network.stopListening(addressOfEntry(name)));
    process.onDeath(() => this.balancer.remove(name));
    process.onDeath(() => this.#hangUpOn(name));
    process.run(() => handle.node.start());
    this.entries.set(name, handle);
    this.balancer.add(name);
    return handle;
  }

  /** Starts a side process, again after its end too. */
  startSide(name: string): SideHandle {
    const process = new SimProcess(`side-${name}`);
    const engine = this.getEngine(name);
    const domain = this.plan.upstreams.find((upstream) => upstream.name === name)?.domain ?? '';
    const handle = process.run(() => {
      const board = new SideBoard(name, this.#createIncarnation(name), domain);
      const node = new SideNode({
        board,
        engine: engine.connect(process),
        random: new Random(this.#random.nextInt(2 ** 31)),
        log: new SilentLog(),
        metrics: this.metrics,
        timing: DEFAULT_TIMING,
        linkToken: LINK_TOKEN,
        isPlain: engine.isPlain,
      });
      return { name, process, node, board };
    });
    const address = this.#addresses.get(name) ?? '';
    this.#network.listen(address, (link) =>
      process.post(() => handle.node.attach(new ProcessLink(link, process))),
    );
    process.onDeath(() => this.#network.stopListening(address));
    process.run(() => handle.node.start());
    this.sides.set(name, handle);
    return handle;
  }

  getEngine(name: string): MemoryEngine {
    const engine = this.engines.get(name);
    if (!engine) throw new Error(`no engine ${name}`);
    return engine;
  }

  getEntry(name: string): EntryHandle {
    const entry = this.entries.get(name);
    if (!entry) throw new Error(`no entry ${name}`);
    return entry;
  }

  /** Upstream behind an address of the network; undefined for an entry's address. */
  findUpstream(address: string): string | undefined {
    return [...this.#addresses].find(([, known]) => known === address)?.[0];
  }

  /** Sends a request through an entry; one that is dead or frozen does not take it now. */
  send(entry: string, request: WorldRequest): SentRequest {
    const caller = new MemoryCaller();
    this.#lastId += 1;
    const id = `w${this.#lastId}`;
    const sent = { id, request, entry, caller, sentAtMs: Date.now() };
    this.sent.push(sent);
    const { node, process } = this.getEntry(entry);
    // Nobody listens: the caller's connection is refused.
    if (process.state === ProcessState.Dead) caller.breakOff();
    process.post(() =>
      node.accept(
        {
          id,
          method: 'POST',
          path: request.path,
          headers: { [TAG_HEADER]: request.tag },
          body: Buffer.from(JSON.stringify({ tag: request.tag })),
          workspaceKey: this.plan.workspaces[0]?.key ?? '',
          className: undefined,
          deadlineMs: request.deadlineMs,
          idempotencyKey: request.idempotencyKey,
          model: undefined,
          isStream: request.isStream,
          prefixHashes: [],
          arrivedAtMs: Date.now(),
        },
        caller,
      ),
    );
    return sent;
  }

  /** Executions of all upstreams that belong to a request. */
  listExecutions(sent: SentRequest): readonly Execution[] {
    return [...this.engines.values()].flatMap(({ executions }) =>
      executions.filter(({ attemptId }) => attemptId.includes(`.${sent.id}.`)),
    );
  }

  /** Ends all processes and gives the real clock back. */
  dispose(): void {
    [...this.entries.values(), ...this.sides.values()].forEach(({ process }) => process.kill());
    this.clock.dispose();
  }

  #createEngine(upstream: PlannedUpstream): MemoryEngine {
    return new MemoryEngine({
      name: upstream.name,
      isPlain: upstream.isPlain,
      coldLimit: upstream.coldLimit,
      warmLimit: upstream.warmLimit,
      warmAfter: WARM_AFTER,
      events: this.events,
    });
  }

  #createIncarnation(name: string): string {
    this.#lastRun += 1;
    return `${name}-run-${this.#lastRun}`;
  }

  /** The connections of callers break when their entry dies. */
  #hangUpOn(entry: string): void {
    this.sent.filter((sent) => sent.entry === entry).forEach(({ caller }) => caller.breakOff());
  }
}
