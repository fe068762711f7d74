import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { PoolActivity } from '../../src/direct/poolActivity.js';

/** Pauses that an entry sees in one pass. */
const PAUSES_PER_PASS = 15;

function notePasses(activity: PoolActivity, pauseMs: number, count = 1): void {
  Array.from({ length: PAUSES_PER_PASS * count }, () => activity.notePause(pauseMs));
}

test('passes that take half as long again are seen within two of them', () => {
  const activity = new PoolActivity();
  notePasses(activity, 75, 40);
  assert.not.ok(activity.hasSlowed);
  notePasses(activity, 113, 2);
  assert.ok(activity.hasSlowed);
});

test('passes that take a little longer for a prompt or two are the usual ones', () => {
  const activity = new PoolActivity();
  notePasses(activity, 75, 40);
  for (let round = 0; round < 20; round += 1) {
    notePasses(activity, 88);
    assert.not.ok(activity.hasSlowed);
    notePasses(activity, 75);
  }
});

test('passes that stay slow are the usual ones from then on', () => {
  const activity = new PoolActivity();
  notePasses(activity, 75, 40);
  notePasses(activity, 140, 3);
  activity.acceptPauses();
  notePasses(activity, 140, 20);
  assert.not.ok(activity.hasSlowed);
});

test('silence is judged from the time at which enough requests were in flight', () => {
  const activity = new PoolActivity();
  activity.noteStart(0);
  activity.noteStart(1_000);
  assert.not.ok(activity.isSilent(1_500, 700, 2));
  assert.ok(activity.isSilent(1_800, 700, 2));
  assert.not.ok(activity.isSilent(1_800, 700, 4));
  activity.noteService(1_900);
  assert.not.ok(activity.isSilent(2_000, 700, 2));
});

test.run();
