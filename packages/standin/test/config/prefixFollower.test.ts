import { install, type Clock } from '@sinonjs/fake-timers';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { PlatformPace } from '@radishbay/core/config/platformPace.js';
import { PrefixFollower } from '@radishbay/core/config/prefixFollower.js';
import { CountingMetrics } from '@radishbay/core/ports/countingMetrics.js';
import type { ObjectChange } from '@radishbay/core/ports/objectStore.js';
import { Random } from '@radishbay/core/ports/random.js';
import { SilentLog } from '@radishbay/core/ports/silentLog.js';

import { MemoryObjectStore } from '../../src/platform/memoryStore.js';

const BURST_WAIT_MS = 200;

const WATCH_MS = 2_400;

/** Records when it receives each object. */
class RecordingFollower extends PrefixFollower {
  readonly receivedAtMs = new Map<string, number>();

  constructor(store: MemoryObjectStore) {
    const context = {
      store,
      pace: new PlatformPace(),
      random: new Random(1),
      log: new SilentLog(),
      metrics: new CountingMetrics(),
    };
    const limits = { callLimitMinMs: 800, callLimitMaxMs: 2_000, retryMaxMs: 400 };
    super(context, 'servers/', { ...limits, burstWaitMs: BURST_WAIT_MS });
  }

  protected override handleList(): void {}

  protected override handleChanges(changes: readonly ObjectChange[]): void {
    changes.forEach(({ key }) => this.receivedAtMs.set(key, performance.now()));
  }

  protected override chooseWatchTimeoutMs(): number {
    return WATCH_MS;
  }

  protected override onCallStart(): () => void {
    return () => {};
  }

  protected override onRecovery(): void {}
}

let clock: Clock;

test.before.each(() => {
  clock = install();
});

test.after.each(() => {
  clock.uninstall();
});

test('a burst of registrations is received in few calls, each within the burst wait', async () => {
  const store = new MemoryObjectStore();
  const follower = new RecordingFollower(store);
  follower.start();
  await clock.tickAsync(50);
  const callCountBefore = store.callCount;
  const writtenAtMs = new Map<string, number>();
  for (let at = 0; at < 60; at += 1) {
    const key = `servers/up-${at}`;
    store.objects.put(key, { at }, 0).unwrap();
    writtenAtMs.set(key, performance.now());
    // eslint-disable-next-line no-await-in-loop -- sequential writes
    await clock.tickAsync(50);
  }
  await clock.tickAsync(BURST_WAIT_MS);
  assert.ok(store.callCount - callCountBefore <= 20, `${store.callCount - callCountBefore} calls`);
  writtenAtMs.forEach((atMs, key) => {
    const delayMs = (follower.receivedAtMs.get(key) ?? Infinity) - atMs;
    assert.ok(delayMs <= BURST_WAIT_MS, `${key} received after ${delayMs} ms`);
  });
  follower.stop();
});

test('a single change is received at once', async () => {
  const store = new MemoryObjectStore();
  const follower = new RecordingFollower(store);
  follower.start();
  await clock.tickAsync(50);
  for (let at = 0; at < 3; at += 1) {
    const key = `servers/up-${at}`;
    store.objects.put(key, { at }, 0).unwrap();
    const writtenAtMs = performance.now();
    // eslint-disable-next-line no-await-in-loop -- sequential writes
    await clock.tickAsync(3_000);
    assert.is(follower.receivedAtMs.get(key), writtenAtMs);
  }
  follower.stop();
});

test.run();
