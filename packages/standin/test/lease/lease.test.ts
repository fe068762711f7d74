import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { PlatformPace } from '@radishbay/core/config/platformPace.js';
import { Lease } from '@radishbay/core/lease/lease.js';
import { CountingMetrics } from '@radishbay/core/ports/countingMetrics.js';
import { Random } from '@radishbay/core/ports/random.js';
import { SilentLog } from '@radishbay/core/ports/silentLog.js';

import { MemoryObjectStore } from '../../src/platform/memoryStore.js';
import { StoreFault, StoreOperation } from '../../src/platform/storeFault.js';
import { inSequence } from '../support/inSequence.js';
import { NodeClock } from '../support/nodeClock.js';
import { NodeStore } from '../support/nodeStore.js';

const LEASE_MS = 6_000;
const KEY = 'lease/test';
const CHECK_INTERVAL_MS = 50;
const RUNS = 40;

/** Processes that contend for one lease, with a check of which of them hold it. */
class Contest {
  readonly clock = new NodeClock();

  readonly platform = new MemoryObjectStore();

  readonly stores: MemoryObjectStore[] = [];

  readonly leases: Lease[] = [];

  /** Number of checks at which more than one process held the lease. */
  overlaps = 0;

  constructor(seed: number, count: number) {
    for (let index = 0; index < count; index += 1) this.#start(`node-${index}`, seed + index);
  }

  #start(node: string, seed: number): void {
    const store = this.platform.connect(node);
    const lease = new Lease({
      store: new NodeStore(this.clock, node, store),
      pace: new PlatformPace(),
      random: new Random(seed),
      log: new SilentLog(),
      metrics: new CountingMetrics(),
      key: KEY,
      holder: node,
      leaseMs: LEASE_MS,
      isCandidate: () => true,
    });
    this.stores.push(store);
    this.leases.push(lease);
    this.clock.run(node, () => lease.start());
  }

  /** Advances the time, and checks at each interval how many processes hold the lease. */
  async advance(spanMs: number): Promise<void> {
    const intervals = new Array<number>(Math.ceil(spanMs / CHECK_INTERVAL_MS)).fill(
      CHECK_INTERVAL_MS,
    );
    await inSequence(intervals, async (intervalMs) => {
      await this.clock.advance(intervalMs);
      const holders = this.leases.filter((lease) => lease.fencingNumber !== undefined);
      if (holders.length > 1) this.overlaps += 1;
    });
  }

  get holder(): number {
    return this.leases.findIndex((lease) => lease.fencingNumber !== undefined);
  }
}

async function inContest(work: (contest: Contest) => Promise<void>, seed = 1): Promise<void> {
  const contest = new Contest(seed, 3);
  try {
    await work(contest);
  } finally {
    contest.clock.uninstall();
  }
}

test('one process acquires the lease, and another one takes over after the first is frozen', () =>
  inContest(async (contest) => {
    await contest.advance(5_000);
    const first = contest.holder;
    contest.clock.freeze(`node-${first}`);
    await contest.advance(2 * LEASE_MS);
    const second = contest.holder;
    assert.is.not(second, -1);
    assert.is.not(second, first);
    contest.clock.thaw(`node-${first}`);
    assert.is(contest.leases[first]?.fencingNumber, undefined);
    await contest.advance(2 * LEASE_MS);
    assert.is(contest.holder, second);
    assert.is(contest.overlaps, 0);
  }));

test('a holder keeps the lease if the response to a renewal is lost', () =>
  inContest(async (contest) => {
    await contest.advance(5_000);
    const { holder } = contest;
    const number = contest.leases[holder]?.fencingNumber;
    contest.stores[holder]?.setFault(StoreFault.AnswerLost);
    await contest.advance(2_500);
    contest.stores[holder]?.setFault(StoreFault.None);
    await contest.advance(LEASE_MS);
    assert.is(contest.leases[holder]?.fencingNumber, number);
  }));

test('a stopped holder releases the lease immediately', () =>
  inContest(async (contest) => {
    await contest.advance(5_000);
    const { holder } = contest;
    const stopped = contest.leases[holder]?.stop();
    await contest.advance(LEASE_MS / 2);
    await stopped;
    assert.is.not(contest.holder, -1);
    assert.is.not(contest.holder, holder);
  }));

/** Lets the holder's next renewal take effect only after its call has timed out. */
async function renewLate(contest: Contest, holder: number): Promise<void> {
  let isLate = false;
  contest.platform.observe(({ client, operation }) => {
    const isRenewal = client === `node-${holder}` && operation === StoreOperation.Put;
    if (isLate || !isRenewal) return undefined;
    isLate = true;
    return StoreFault.LateEffect;
  });
  await inSequence(new Array<number>(40).fill(CHECK_INTERVAL_MS), async (intervalMs) => {
    if (!isLate) await contest.advance(intervalMs);
  });
}

[1, 2, 3, 4, 5, 6].forEach((seed) => {
  test(`a renewal that takes effect late extends the lease from when it was sent (seed ${seed})`, () =>
    inContest(async (contest) => {
      await contest.advance(5_000);
      const { holder } = contest;
      await renewLate(contest, holder);
      await contest.advance(1_200);
      contest.clock.freeze(`node-${holder}`);
      await contest.advance(2_250);
      contest.clock.thaw(`node-${holder}`);
      await contest.advance(50);
      contest.stores[holder]?.setFault(StoreFault.Unavailable);
      await contest.advance(2 * LEASE_MS);
      assert.is(contest.overlaps, 0);
      assert.is.not(contest.holder, holder);
    }, seed));
});

enum Step {
  Freeze = 'freeze',
  Thaw = 'thaw',
  Fault = 'fault',
}

const STEP = fc.record({
  step: fc.constantFrom(...Object.values(Step)),
  node: fc.nat({ max: 2 }),
  fault: fc.constantFrom(...Object.values(StoreFault)),
  spanMs: fc.nat({ max: 9_000 }),
});

test('under faults at most one process holds the lease, and it is acquired again afterwards', async () => {
  await fc.assert(
    fc.asyncProperty(fc.array(STEP, { maxLength: 12 }), fc.nat(), (steps, seed) =>
      inContest(async (contest) => {
        await inSequence(steps, async ({ step, node, fault, spanMs }) => {
          if (step === Step.Freeze) contest.clock.freeze(`node-${node}`);
          if (step === Step.Thaw) contest.clock.thaw(`node-${node}`);
          if (step === Step.Fault) contest.stores[node]?.setFault(fault);
          await contest.advance(spanMs);
        });
        [0, 1, 2].forEach((node) => contest.clock.thaw(`node-${node}`));
        contest.stores.forEach((store) => store.setFault(StoreFault.None));
        await contest.advance(4 * LEASE_MS);
        assert.is(contest.overlaps, 0);
        assert.is.not(contest.holder, -1);
      }, seed),
    ),
    { numRuns: RUNS, seed: 5 },
  );
});

test.run();
