import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { DomainState } from '@radishbay/core/config/object.js';
import { computeDomainShare, computeTimeShare } from '@radishbay/core/orders/domainRamp.js';

import { TestFleet } from '../support/testFleet.js';

const DOMAIN = 'zone-b';

let fleet: TestFleet;

function computeShare(): number {
  return computeTimeShare(fleet.entry(0).board, DOMAIN, Date.now());
}

async function drainFor(spanMs: number): Promise<void> {
  fleet.writeDomain(DOMAIN, DomainState.Drained);
  await fleet.advance(spanMs);
  fleet.writeDomain(DOMAIN, DomainState.Active);
  await fleet.advance(100);
}

test.before.each(async () => {
  fleet = new TestFleet(1, 1);
  await fleet.advance(3_000);
});

test.after.each(() => fleet.end());

test('a domain that was never drained gets its full share', () => {
  assert.is(computeShare(), 1);
});

test('a drained domain gets no share', async () => {
  fleet.writeDomain(DOMAIN, DomainState.Drained);
  await fleet.advance(100);
  assert.is(computeShare(), 0);
});

test('the share of a domain rises gradually after a long drain', async () => {
  await drainFor(300_000);
  assert.ok(computeShare() < 0.15);
  await fleet.advance(5_000);
  assert.ok(computeShare() > 0.5 && computeShare() < 0.7);
  await fleet.advance(5_000);
  assert.is(computeShare(), 1);
});

test('a domain starts close to its previous share after a short drain', async () => {
  await drainFor(1_000);
  assert.ok(computeShare() > 0.9);
});

test('a domain that is drained again during its ramp restarts from a smaller share', async () => {
  await drainFor(300_000);
  await fleet.advance(3_000);
  const before = computeShare();
  await drainFor(5_000);
  assert.ok(computeShare() < before);
});

test('the share is bounded by the limits that the side processes report', () => {
  const { board } = fleet.entry(0);
  board.upstreams.forEach((upstream) => {
    if (upstream.report) Object.assign(upstream, { report: { ...upstream.report, limit: 5 } });
  });
  assert.is(computeDomainShare(board, DOMAIN, 'chat', Date.now()), 0.1);
});

test.run();
