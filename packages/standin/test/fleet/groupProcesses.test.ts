import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { RankAction } from '@radishbay/core/groups/rankOrder.js';

import { GroupFleet } from './groupFleet.js';

const POLL_MS = 50;

/** Steps that show that a group goes on. */
const STEPS_ON = 40;

async function waitUntil(isDone: () => boolean): Promise<void> {
  if (isDone()) return;
  await new Promise((resolve) => {
    setTimeout(resolve, POLL_MS);
  });
  await waitUntil(isDone);
}

test('a group of real processes steps on where its coordinator is killed in a switch', async () => {
  const fleet = await GroupFleet.start();
  const { group } = fleet;
  try {
    await waitUntil(() => group.steps > 0);
    const coordinator = await fleet.readCoordinator();
    let holds = 0;
    fleet.followOrders((action) => {
      if (action !== String(RankAction.Hold)) return;
      holds += 1;
      if (holds === 2) fleet.kill(coordinator);
    });
    await waitUntil(() => holds >= 2);
    const before = group.steps;
    await waitUntil(() => group.steps > before + STEPS_ON);
    assert.equal(group.mixedSteps, []);
    assert.is.not(await fleet.readCoordinator(), '');
  } finally {
    await fleet.stop();
  }
});

test.run();
