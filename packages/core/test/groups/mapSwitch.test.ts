import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { MapSwitch } from '../../src/groups/mapSwitch.js';
import { RankControl } from '../../src/groups/rankControl.js';
import {
  RankAction,
  RankErrorKind,
  type RankAnswer,
  type RankOrder,
  type RankState,
} from '../../src/groups/rankOrder.js';
import { Err, Ok } from '../../src/outcome.js';
import { ballotOf } from './rankGuardBench.js';

const BALLOT = ballotOf(1);

const RETRIES = 2;

/** Ranks whose successful replies a test can replace. */
class ScriptedControl extends RankControl {
  readonly orders: { rank: number; action: RankAction }[] = [];

  readonly #ranks = 3;

  readonly #reply: (rank: number, order: RankOrder, state: RankState) => RankAnswer;

  constructor(reply: (rank: number, order: RankOrder, state: RankState) => RankAnswer) {
    super();
    this.#reply = reply;
  }

  override get ranks(): number {
    return this.#ranks;
  }

  override order(rank: number, order: RankOrder): Promise<RankAnswer> {
    this.orders.push({ rank, action: order.action });
    const state: RankState = {
      mapVersion: order.action === RankAction.Hold || order.action === RankAction.Read ? 1 : 2,
      availableVersions: [1, 2],
      isHeld: true,
      fencingNumber: 0,
      steps: 0,
      incarnation: `side-${rank}`,
      promised: BALLOT,
    };
    return Promise.resolve(this.#reply(rank, order, state));
  }

  count(action: RankAction): number {
    return this.orders.filter((order) => order.action === action).length;
  }
}

function fail(kind: RankErrorKind): RankAnswer {
  return Err({ kind, detail: kind, promised: ballotOf(7) });
}

function runOn(control: RankControl, isLeaseHeld = () => true) {
  return new MapSwitch(control, { retries: RETRIES, canOrder: isLeaseHeld }).run(BALLOT, 2);
}

test('no rank is switched unless all ranks have promised the ballot and hold', async () => {
  const control = new ScriptedControl((rank, order, state) =>
    rank === 1 && order.action === RankAction.Hold ? fail(RankErrorKind.Superseded) : Ok(state),
  );
  const outcome = await runOn(control);
  assert.is(control.count(RankAction.Switch), 0);
  assert.equal(outcome.ok ? undefined : outcome.val.promised, ballotOf(7));
});

test('no rank is released unless all ranks have confirmed the map', async () => {
  const control = new ScriptedControl((rank, order, state) =>
    rank === 1 && order.action === RankAction.Switch ? Ok({ ...state, mapVersion: 1 }) : Ok(state),
  );
  await runOn(control);
  assert.is(control.count(RankAction.Release), 0);
});

test('no rank is released after a switch order without an answer', async () => {
  const control = new ScriptedControl((rank, order, state) =>
    rank === 1 && order.action === RankAction.Switch ? fail(RankErrorKind.Lost) : Ok(state),
  );
  await runOn(control);
  assert.is(control.count(RankAction.Release), 0);
  assert.is(control.count(RankAction.Switch), 3 + RETRIES);
});

test('a map that is missing on one rank is not chosen', async () => {
  const control = new ScriptedControl((rank, order, state) => {
    const hasNew = rank !== 1 && order.action === RankAction.Hold;
    const mapVersion = order.action === RankAction.Hold ? 1 : state.mapVersion;
    return Ok({ ...state, mapVersion, availableVersions: hasNew ? [1, 2] : [1] });
  });
  const outcome = await runOn(control);
  assert.not(outcome.ok);
  assert.is(control.count(RankAction.Release), 0);
});

test('a coordinator whose lease has expired by its own clock sends no further order', async () => {
  let asked = 0;
  const control = new ScriptedControl((_, __, state) => Ok(state));
  const outcome = await runOn(control, () => {
    asked += 1;
    return asked <= 3;
  });
  assert.not(outcome.ok);
  assert.is(control.orders.length, 3);
});

test.run();
