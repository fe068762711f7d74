/** Exceptions in loops that read the platform's store, which go on after them. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { PlatformPace } from '../../src/config/platformPace.js';
import { PrefixFollower } from '../../src/config/prefixFollower.js';
import { Lease } from '../../src/lease/lease.js';
import { CountingMetrics } from '../../src/ports/countingMetrics.js';
import { Random } from '../../src/ports/random.js';
import { SilentLog } from '../../src/ports/silentLog.js';
import { withClock } from '../direct/directFixture.js';
import { FakeStore } from '../entry/fakeStore.js';

const FAULT_COUNT = 2;

function createContext() {
  const store = new FakeStore();
  const metrics = new CountingMetrics();
  const pace = new PlatformPace();
  return { store, metrics, pace, random: new Random(1), log: new SilentLog() };
}

/** Fails to handle the first lists. */
class FaultyFollower extends PrefixFollower {
  listCount = 0;

  protected override handleList(): void {
    this.listCount += 1;
    if (this.listCount <= FAULT_COUNT) throw new Error('injected');
  }

  protected override handleChanges(): void {}

  protected override chooseWatchTimeoutMs(): number {
    return 1_000;
  }

  protected override onCallStart(): () => void {
    return () => {};
  }

  protected override onRecovery(): void {}
}

test('a follower lists its objects again after an exception', () =>
  withClock(async (clock) => {
    const context = createContext();
    const follower = new FaultyFollower(context, 'config/');
    follower.start();
    await clock.tickAsync(2_000);
    assert.is(follower.listCount, FAULT_COUNT + 1);
    assert.is(context.metrics.readTotal('fault.contained'), FAULT_COUNT);
    follower.stop();
  }));

test('a lease is acquired after an exception', () =>
  withClock(async (clock) => {
    const context = createContext();
    const get = context.store.get.bind(context.store);
    let callCount = 0;
    Object.assign(context.store, {
      get: (key: string) => {
        callCount += 1;
        if (callCount <= FAULT_COUNT) throw new Error('injected');
        return get(key);
      },
    });
    const lease = new Lease({
      ...context,
      key: 'lease/a',
      holder: 'entry-1',
      leaseMs: 3_000,
      isCandidate: () => true,
    });
    lease.start();
    await clock.tickAsync(10_000);
    assert.ok(lease.fencingNumber !== undefined);
    assert.is(context.metrics.readTotal('fault.contained'), FAULT_COUNT);
    await lease.stop();
  }));

test.run();
