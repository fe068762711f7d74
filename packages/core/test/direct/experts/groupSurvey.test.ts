/** Surveys of a group, and how a held pass found by one is interpreted. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { surveyGroups, type GroupSurvey } from '../../../src/direct/experts/groupSurvey.js';
import { findHold, isSettled } from '../../../src/direct/experts/holdRecovery.js';
import {
  RankCaller,
  type OrderOutcome,
  type RankCounts,
  type RankExperts,
  type RankReport,
} from '../../../src/direct/experts/rankCaller.js';
import type { UpstreamEntry } from '../../../src/direct/directUpstream.js';
import { Err, Ok, type Result } from '../../../src/outcome.js';

import { createBoard, SIZE } from './groupFixture.js';

/** Returns reports of ranks with the fields that a test sets. */
class StubRankCaller extends RankCaller {
  readonly #changes: Readonly<Record<number, Partial<RankReport>>>;

  constructor(changes: Readonly<Record<number, Partial<RankReport>>>) {
    super();
    this.#changes = changes;
  }

  override readReport({ id }: UpstreamEntry): Promise<Result<RankReport, string>> {
    const rank = Number(id.split('-').pop());
    const report: RankReport = {
      group: 'g',
      epoch: 3,
      rank,
      isOpen: true,
      size: SIZE,
      step: 20,
      pace: 1,
      mapVersion: 5,
      preparedVersion: 5,
      armed: undefined,
      heldStep: undefined,
      ...this.#changes[rank],
    };
    return Promise.resolve(Ok(report));
  }

  override readCounts(): Promise<Result<RankCounts, string>> {
    return Promise.resolve(Err('not available'));
  }

  override readExperts(): Promise<Result<RankExperts, string>> {
    return Promise.resolve(Err('not available'));
  }

  override order(): Promise<OrderOutcome> {
    throw new Error('a survey must not send orders');
  }
}

async function survey(
  changes: Readonly<Record<number, Partial<RankReport>>>,
): Promise<GroupSurvey | undefined> {
  const [found] = await surveyGroups(new StubRankCaller(changes), createBoard('entry-1').upstreams);
  return found;
}

test('ranks that are all open and of one epoch form a group', async () => {
  const found = await survey({});
  assert.is(found?.ranks.length, SIZE);
  assert.ok(found && isSettled(found));
});

test('a group with a rank of another epoch, a closed or a missing rank is left out', async () => {
  assert.is(await survey({ 2: { epoch: 4 } }), undefined);
  assert.is(await survey({ 1: { isOpen: false } }), undefined);
  assert.is(await survey({ 3: { rank: 2 } }), undefined);
});

test('a held pass with a newer map that all ranks have prepared is a switch to complete', async () => {
  const copied = { preparedVersion: 9 };
  const found = await survey({ 0: { ...copied, heldStep: 30 }, 1: copied, 2: copied, 3: copied });
  const hold = found && findHold(found);
  assert.is(hold?.step, 30);
  assert.is(hold?.version, 9);
});

test('a held pass whose map is already in force, or missing on a rank, is only released', async () => {
  const inForce = await survey({ 0: { heldStep: 30 } });
  assert.is(inForce && findHold(inForce)?.version, undefined);
  const lacking = await survey({ 0: { heldStep: 30, preparedVersion: 9 } });
  assert.is(lacking && findHold(lacking)?.step, 30);
  assert.is(lacking && findHold(lacking)?.version, undefined);
});

test('a group with an armed rank, or with a rank of another map, is not settled', async () => {
  const armed = await survey({ 1: { armed: { version: 9, step: 30 } } });
  assert.ok(armed && !isSettled(armed));
  const other = await survey({ 1: { mapVersion: 4 } });
  assert.ok(other && !isSettled(other));
});

test.run();
