import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { TestFleet } from '../support/testFleet.js';

const KEY = 'registry/entry/entry-1';
const DEAD_AFTER_MS = 120_000;

let fleet: TestFleet;

function readIncarnation(): unknown {
  const value = fleet.platform.objects.get(KEY)?.value;
  return (value as { incarnation?: unknown } | undefined)?.incarnation;
}

test.before.each(async () => {
  fleet = new TestFleet(1, 3, { isProbing: false });
  await fleet.advance(5_000);
});

test.after.each(() => fleet.end());

test('an entry whose registration was removed registers again', async () => {
  fleet.platform.objects.remove(KEY, fleet.platform.objects.get(KEY)?.version ?? 0).unwrap();
  await fleet.advance(3_000);
  assert.is(readIncarnation(), fleet.entry(1).board.incarnation);
});

test('when a second process registers under the same name, the first begins no more work', async () => {
  const earlier = fleet.entry(1);
  const later = fleet.startEntry('entry-1');
  await fleet.advance(70_000);
  assert.is(readIncarnation(), later.board.incarnation);
  assert.not.ok(earlier.board.isCurrent);
  assert.ok(later.board.isCurrent);
});

test('registration and status of a killed entry are removed, those of others remain', async () => {
  fleet.killEntry(1);
  await fleet.advance(DEAD_AFTER_MS + 60_000);
  assert.is(readIncarnation(), undefined);
  assert.is(fleet.platform.objects.get('status/entry/entry-1'), undefined);
  assert.ok(fleet.platform.objects.get('registry/entry/entry-0'));
  assert.ok(fleet.platform.objects.get('registry/entry/entry-2'));
});

test('a planned stop removes the registration, and peers no longer count the entry', async () => {
  const { node, membership } = fleet.entry(1);
  fleet.clock.run(node, () => {
    membership.leave();
  });
  await fleet.advance(5_000);
  assert.is(readIncarnation(), undefined);
  assert.not.ok(fleet.entry(0).board.peers.has('entry-1'));
});

test.run();
