import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { PoolActivity } from '../../src/direct/poolActivity.js';

/** Pauses that an entry observes in one pass. */
const PAUSES_PER_PASS = 15;

function notePasses(activity: PoolActivity, pauseMs: number, count = 1): void {
  Array.from({ length: PAUSES_PER_PASS * count }, () => activity.notePause(pauseMs));
}

test('passes that take half as long again are detected within two passes', () => {
  const activity = new PoolActivity();
  notePasses(activity, 75, 40);
  assert.not.ok(activity.hasSlowed);
  notePasses(activity, 113, 2);
  assert.ok(activity.hasSlowed);
});

test('passes that take slightly longer for one or two prefills do not count as slowed', () => {
  const activity = new PoolActivity();
  notePasses(activity, 75, 40);
  for (let round = 0; round < 20; round += 1) {
    notePasses(activity, 88);
    assert.not.ok(activity.hasSlowed);
    notePasses(activity, 75);
  }
});

test('passes that stay slow become the new baseline', () => {
  const activity = new PoolActivity();
  notePasses(activity, 75, 40);
  notePasses(activity, 140, 3);
  activity.resetPauseBaseline();
  notePasses(activity, 140, 20);
  assert.not.ok(activity.hasSlowed);
});

test('silence is measured from the time at which enough requests were in flight', () => {
  const activity = new PoolActivity();
  activity.noteStart(0);
  activity.noteStart(1_000);
  assert.not.ok(activity.isSilent(1_500, 700, 2));
  assert.ok(activity.isSilent(1_800, 700, 2));
  assert.not.ok(activity.isSilent(1_800, 700, 4));
  activity.noteOutput(1_900);
  assert.not.ok(activity.isSilent(2_000, 700, 2));
});

test.run();
