import { install, type Clock } from '@sinonjs/fake-timers';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { ConfigFeed, ConfigSource } from '@radishbay/core/config/configFeed.js';
import { ConfigFollower } from '@radishbay/core/config/configFollower.js';
import { ConfigKind, DomainState, formatConfigKey } from '@radishbay/core/config/object.js';
import { PlatformPace } from '@radishbay/core/config/platformPace.js';
import { Deadline } from '@radishbay/core/lease/deadline.js';
import { ConfigLease } from '@radishbay/core/membership/configLease.js';
import { DEFAULT_TIMING } from '@radishbay/core/model/timing.js';
import { Ok } from '@radishbay/core/outcome.js';
import { CountingMetrics } from '@radishbay/core/ports/countingMetrics.js';
import type { WatchBatch } from '@radishbay/core/ports/objectStore.js';
import { Random } from '@radishbay/core/ports/random.js';
import { SilentLog } from '@radishbay/core/ports/silentLog.js';
import { EntryBoard } from '@radishbay/core/state/entryBoard.js';

import { MemoryObjectStore } from '../../src/platform/memoryStore.js';
import { StoreFault } from '../../src/platform/storeFault.js';

/** More than JavaScript passes as arguments of one call. */
const MANY_CHANGES = 200_000;

const KEY = formatConfigKey(ConfigKind.Domain, 'zone-a');

/** A store whose next watch returns a given batch. */
class BatchStore extends MemoryObjectStore {
  nextBatch: WatchBatch | undefined;

  override async watch(...call: Parameters<MemoryObjectStore['watch']>) {
    const watched = await super.watch(...call);
    const batch = this.nextBatch;
    this.nextBatch = undefined;
    return batch ? Ok(batch) : watched;
  }
}

function createFollower(store = new MemoryObjectStore()) {
  const board = new EntryBoard('entry-a', 'one', 'zone-a', 'main');
  const log = new SilentLog();
  const metrics = new CountingMetrics();
  const feed = new ConfigFeed({ board, log, metrics });
  const lease = new ConfigLease({ board, configLeaseMs: DEFAULT_TIMING.configLeaseMs });
  lease.confirmRegistration(Deadline.after(60_000));
  const follower = new ConfigFollower({
    board,
    feed,
    lease,
    store,
    pace: new PlatformPace(),
    random: new Random(1),
    log,
    metrics,
    timing: DEFAULT_TIMING,
  });
  follower.start();
  return { store, board, feed, follower };
}

function writeDomain(store: MemoryObjectStore, state: DomainState): number {
  const version = store.objects.get(KEY)?.version ?? 0;
  return store.objects.put(KEY, { name: 'zone-a', state }, version).unwrap();
}

function readState(board: EntryBoard): DomainState | undefined {
  return board.config.get(ConfigKind.Domain, 'zone-a')?.state;
}

let clock: Clock;

test.before.each(() => {
  clock = install();
});

test.after.each(() => {
  clock.uninstall();
});

test('a watched change updates the board exactly once', async () => {
  const { store, board, feed } = createFollower();
  await clock.tickAsync(50);
  const revisions: number[] = [];
  feed.onUpdate((update) => revisions.push(update.revision));
  const version = writeDomain(store, DomainState.Drained);
  await clock.tickAsync(50);
  assert.is(readState(board), DomainState.Drained);
  assert.equal(revisions, [version]);
});

test('more changes at a time than a call has arguments are applied', async () => {
  const store = new BatchStore();
  const { board } = createFollower(store);
  await clock.tickAsync(50);
  const changes = Array.from({ length: MANY_CHANGES }, (_, at) => ({
    key: formatConfigKey(ConfigKind.Domain, `zone-${at}`),
    version: at + 1,
    value: { name: `zone-${at}`, state: DomainState.Active },
  }));
  store.nextBatch = { revision: MANY_CHANGES, changes };
  writeDomain(store, DomainState.Drained);
  await clock.tickAsync(50);
  const last = board.config.get(ConfigKind.Domain, `zone-${MANY_CHANGES - 1}`);
  assert.is(last?.state, DomainState.Active);
});

test('objects are listed again after compaction, which also shows removals', async () => {
  const { store, board } = createFollower();
  writeDomain(store, DomainState.Active);
  await clock.tickAsync(50);
  store.setFault(StoreFault.Unavailable);
  store.objects.remove(KEY, store.objects.get(KEY)?.version ?? 0).unwrap();
  store.objects.compact();
  await clock.tickAsync(1_000);
  store.setFault(StoreFault.None);
  await clock.tickAsync(10_000);
  assert.is(readState(board), undefined);
});

test('following continues after a call that is never answered', async () => {
  const { store, board } = createFollower();
  await clock.tickAsync(50);
  store.setFault(StoreFault.Silent);
  await clock.tickAsync(50);
  store.setFault(StoreFault.None);
  writeDomain(store, DomainState.Drained);
  await clock.tickAsync(DEFAULT_TIMING.configLeaseMs + 1_000);
  assert.is(readState(board), DomainState.Drained);
});

test('changes are received from a platform that takes 3 s per answer', async () => {
  const { store, board } = createFollower();
  store.delayMs = 3_000;
  writeDomain(store, DomainState.Drained);
  await clock.tickAsync(30_000);
  assert.is(readState(board), DomainState.Drained);
  writeDomain(store, DomainState.Active);
  await clock.tickAsync(10_000);
  assert.is(readState(board), DomainState.Active);
});

test('the configuration lease expires without answers and is renewed by the next one', async () => {
  const { store, board } = createFollower();
  await clock.tickAsync(5_000);
  assert.ok(board.isCurrent);
  store.setFault(StoreFault.Silent);
  await clock.tickAsync(DEFAULT_TIMING.configLeaseMs);
  assert.not.ok(board.isCurrent);
  store.setFault(StoreFault.None);
  await clock.tickAsync(10_000);
  assert.ok(board.isCurrent);
});

test('the lease has expired as soon as a paused process resumes, before any timer runs', async () => {
  const { board } = createFollower();
  await clock.tickAsync(500);
  assert.ok(board.isCurrent);
  clock.setSystemTime(Date.now() + DEFAULT_TIMING.configLeaseMs);
  assert.not.ok(board.isCurrent);
});

test('an older version received from a peer is ignored', async () => {
  const { store, board, feed } = createFollower();
  const old = writeDomain(store, DomainState.Active);
  writeDomain(store, DomainState.Drained);
  await clock.tickAsync(50);
  feed.apply(
    ConfigSource.Peer,
    [{ key: KEY, version: old, value: { name: 'zone-a', state: DomainState.Active } }],
    old,
    false,
  );
  assert.is(readState(board), DomainState.Drained);
});

test.run();
