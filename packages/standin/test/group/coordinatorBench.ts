/** Coordinators of a simulated group on a fake clock. */
import FakeTimers from '@sinonjs/fake-timers';

import { findSlot } from '@radishbay/core/groups/expertMap.js';
import { GroupCoordinator } from '@radishbay/core/groups/groupCoordinator.js';
import { CountingMetrics } from '@radishbay/core/ports/countingMetrics.js';

import { EventFaults } from '../../src/group/eventFaults.js';
import { FaultyControl } from '../../src/group/faultyControl.js';
import { CoordinatorProcess } from '../../src/group/proposer.js';
import { RankGroup } from '../../src/group/rankGroup.js';
import { SideSlot } from '../../src/group/sideSlot.js';
import { runClock } from './clockRun.js';
import { MemoryStore } from './memoryStore.js';
import { RecordingLog } from './recordingLog.js';
import type { TestLease } from './testLease.js';

export const SHAPE = { ranks: 4, layers: 2, experts: 8, slotsPerRank: 3 };

const STEP_MS = 20;
const LOOP_MS = 10;
const WINDOW_MS = 200;
const TIMES = { oneWayMs: 1, timeoutMs: 60 };

const OPTIONS = {
  group: 'choir',
  shape: SHAPE,
  expertBytes: 1000,
  intervalMs: 500,
  checkIntervalMs: 300,
  spareExperts: 10,
  plan: {
    tokenMs: 0.01,
    horizonSteps: 1000,
    loadCostMs: 1,
    stallMs: 5,
    minSavedShare: 0.01,
    maxLoads: 50,
    maxLayerMoves: 8,
  },
  load: { halfLifeWindows: 1, minWindows: 2, staleMs: 1000 },
  stragglers: {
    batchMs: 0.1,
    tokenMs: 0.01,
    slowAbove: 1.1,
    normalBelow: 1.05,
    raiseWindows: 2,
    lowerWindows: 4,
    leaveAbove: 3,
    smoothing: 0.5,
  },
};

export class CoordinatorBench {
  readonly clock = FakeTimers.install({ now: 0 });

  readonly store = new MemoryStore();

  readonly metrics = new CountingMetrics();

  readonly group = new RankGroup({ ranks: SHAPE.ranks, isFencingChecked: false, stepMs: STEP_MS });

  readonly #slots: SideSlot[] = [];

  readonly #faults = new EventFaults([]);

  readonly coordinators: GroupCoordinator[] = [];

  #window = 0;

  /** Whether the ranks report their load. */
  isReporting = true;

  constructor() {
    const control = (slot: SideSlot) =>
      new FaultyControl(this.#slots, TIMES, this.#faults, slot.makeProposer());
    this.group.engines.forEach((engine, rank) => {
      const options = {
        rank,
        seed: 1,
        holdLimitMs: 300,
        engineOrderLimitMs: 100,
        startWaitMs: 100,
      };
      this.#slots.push(new SideSlot(engine, options, this.#faults, control, this.metrics));
    });
    setInterval(() => this.#report(), WINDOW_MS);
  }

  /** Starts a coordinator in a process of its own. */
  start(lease: TestLease): GroupCoordinator {
    const control = new FaultyControl(this.#slots, TIMES, this.#faults, new CoordinatorProcess());
    const ports = {
      control,
      store: this.store,
      lease,
      log: new RecordingLog(),
      metrics: this.metrics,
    };
    const incarnation = `entry-${lease.fencingNumber}`;
    const coordinator = new GroupCoordinator({ ...OPTIONS, incarnation }, ports);
    this.coordinators.push(coordinator);
    setInterval(() => coordinator.step(Date.now()), LOOP_MS);
    return coordinator;
  }

  async run(untilMs: number): Promise<void> {
    await runClock(this.clock, untilMs);
  }

  /** Number of steps started since a time. */
  countSteps(sinceMs: number): number {
    return this.group.record.filter((step) => step.startedAtMs >= sinceMs).length;
  }

  get lastVersion(): number {
    return this.group.record[this.group.record.length - 1]?.versions[0] ?? 0;
  }

  close(): void {
    this.clock.uninstall();
  }

  /** Reports the load of all ranks; a slot of expert 0 gets 30 times the tokens of the others. */
  #report(): void {
    if (!this.isReporting) return;
    this.#window += 1;
    this.coordinators.forEach((coordinator) => this.#reportTo(coordinator));
  }

  #reportTo(coordinator: GroupCoordinator): void {
    const { map } = coordinator;
    if (!map) return;
    Array.from({ length: SHAPE.ranks }, (_, rank) => rank).forEach((rank) => {
      const tokens = Array.from({ length: SHAPE.layers }, (_, layer) => {
        const from = findSlot(SHAPE, layer, rank);
        const experts = map.slots.slice(from, from + SHAPE.slotsPerRank);
        return experts.map((expert) => (expert === 0 ? 3000 : 100));
      }).flat();
      const report = { rank, window: this.#window, mapVersion: map.version, steps: 1, tokens };
      coordinator.addLoad(report, Date.now());
    });
  }
}
