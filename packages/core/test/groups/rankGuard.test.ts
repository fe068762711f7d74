import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { RankAction, RankErrorKind } from '../../src/groups/rankOrder.js';
import { RankGuardBench, START_WAIT_MS, ballotOf, kindOf } from './rankGuardBench.js';

/** Runs a test on a guard that accepts orders. */
function testGuard(name: string, run: (bench: RankGuardBench) => Promise<void>): void {
  test(name, async () => {
    const bench = new RankGuardBench();
    try {
      await bench.waitForStart();
      await run(bench);
    } finally {
      bench.close();
    }
  });
}

testGuard(
  'a hold with a lower ballot is refused, and the error has the promised ballot',
  async (bench) => {
    await bench.hold(ballotOf(5));
    const answer = await bench.hold(ballotOf(4));
    assert.is(kindOf(answer), RankErrorKind.Superseded);
    assert.equal(answer.ok ? undefined : answer.val.promised, ballotOf(5));
  },
);

testGuard('a switch with another ballot than the promised one has no effect', async (bench) => {
  await bench.hold(ballotOf(5));
  const answer = await bench.orderInBallot(RankAction.Switch, ballotOf(4), 2);
  assert.is(kindOf(answer), RankErrorKind.Superseded);
  assert.equal(bench.effects, [RankAction.Hold]);
});

testGuard('a switch for a previous incarnation has no effect', async (bench) => {
  await bench.hold(ballotOf(5));
  const answer = await bench.orderInBallot(RankAction.Switch, ballotOf(5), 2, 'side.0');
  assert.is(kindOf(answer), RankErrorKind.StaleIncarnation);
  assert.equal(bench.effects, [RankAction.Hold]);
});

testGuard('a switch on a rank that has been released is refused', async (bench) => {
  await bench.hold(ballotOf(5));
  await bench.orderInBallot(RankAction.Release, ballotOf(5), 1);
  const answer = await bench.orderInBallot(RankAction.Switch, ballotOf(5), 2);
  assert.is(kindOf(answer), RankErrorKind.Superseded);
});

testGuard('a switch on a rank that is not held has no effect', async (bench) => {
  await bench.hold(ballotOf(5));
  bench.engine.set({ isHeld: false });
  const answer = await bench.orderInBallot(RankAction.Switch, ballotOf(5), 2);
  assert.is(kindOf(answer), RankErrorKind.Invalid);
  assert.equal(bench.effects, [RankAction.Hold]);
});

testGuard('a duplicate hold does not stop a rank that its ballot has released', async (bench) => {
  await bench.hold(ballotOf(5));
  await bench.orderInBallot(RankAction.Release, ballotOf(5), 1);
  assert.is(kindOf(await bench.hold(ballotOf(5))), RankErrorKind.Superseded);
  assert.not(bench.engine.state.isHeld);
});

testGuard('a release that names another map than the one in force is refused', async (bench) => {
  await bench.hold(ballotOf(5));
  const answer = await bench.orderInBallot(RankAction.Release, ballotOf(5), 2);
  assert.is(kindOf(answer), RankErrorKind.Invalid);
  assert.ok(bench.engine.state.isHeld);
});

testGuard('proposers with equal attempts have different ballots', async (bench) => {
  await bench.hold(ballotOf(5, 'side-2.1'));
  assert.is(kindOf(await bench.hold(ballotOf(5, 'side-2.0'))), RankErrorKind.Superseded);
});

testGuard(
  'later orders wait for an unanswered order, which is sent again under its id',
  async (bench) => {
    bench.engine.leaveUnanswered(2);
    const first = bench.hold(ballotOf(5));
    const second = bench.hold(ballotOf(6));
    await bench.clock.tickAsync(200);
    await Promise.all([first, second]);
    const ids = bench.engine.orders.map((order) => order.orderId);
    assert.equal(ids, ['side.1/1', 'side.1/1', 'side.1/1', 'side.1/2']);
  },
);

testGuard('the guard learns a fencing number that only its engine knows', async (bench) => {
  bench.engine.set({ fencingNumber: 7 });
  const answer = await bench.hold(ballotOf(5));
  assert.is(kindOf(answer), RankErrorKind.Fenced);
  assert.is(answer.ok ? 0 : answer.val.promised.fencingNumber, 7);
});

test('a restarted side process refuses orders until those of its predecessor have expired', async () => {
  const bench = new RankGuardBench();
  await bench.clock.tickAsync(START_WAIT_MS - 1);
  const early = await bench.hold(ballotOf(5));
  await bench.clock.tickAsync(1);
  const late = await bench.hold(ballotOf(5));
  bench.close();
  assert.is(kindOf(early), RankErrorKind.NotReady);
  assert.ok(late.ok);
});

test.run();
