import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { DomainState } from '@radishbay/core/config/object.js';
import { OrderAction, OrderErrorKind, OrderState } from '@radishbay/core/model/order.js';

import { StoreFault, StoreOperation } from '../../src/platform/storeFault.js';
import { DOMAINS, TestFleet } from '../support/testFleet.js';

const DRAIN = { action: OrderAction.DrainDomain, target: 'zone-b' };
const RESTORE = { action: OrderAction.RestoreDomain, target: 'zone-b' };

let fleet: TestFleet;

/** Advances the time, then waits for the outcome. */
async function settle<T>(outcome: Promise<T>, spanMs = 10_000): Promise<T> {
  await fleet.advance(spanMs);
  return outcome;
}

function faultNextPut(key: string, fault: StoreFault): void {
  let isDone = false;
  fleet.platform.observe((call) => {
    if (isDone || call.operation !== StoreOperation.Put || call.key !== key) return undefined;
    isDone = true;
    return fault;
  });
}

test.before.each(async () => {
  fleet = new TestFleet(1, 3);
  await fleet.advance(5_000);
});

test.after.each(() => fleet.end());

test('a drain is read back as in force on all processes within the 4-second limit', async () => {
  const receipt = (await settle(fleet.entry(0).give(DRAIN), 100)).unwrap();
  await fleet.advance(3_000);
  const status = (await settle(fleet.entry(1).read(receipt.orderId), 100)).unwrap();
  assert.is(status.state, OrderState.InForce);
  assert.is(status.inForceOn, status.of);
  assert.is(status.by, 'amina');
});

test('of two concurrent orders one is accepted, and the conflict names it', async () => {
  const first = fleet.entry(0).give({ ...DRAIN, by: 'amina' });
  const second = fleet.entry(1).give({ ...DRAIN, by: 'bakri' });
  const outcomes = [await settle(first, 1_000), await settle(second, 0)];
  assert.is(outcomes.filter((outcome) => outcome.ok).length, 1);
  const lost = outcomes.find((outcome) => !outcome.ok);
  assert.is(lost?.ok === false && lost.val.kind, OrderErrorKind.Conflict);
  assert.match(lost?.ok === false ? lost.val.detail : '', /drain-domain by (amina|bakri)/u);
});

[StoreFault.AnswerLost, StoreFault.RequestLost, StoreFault.LateEffect].forEach((fault) => {
  test(`an order is accepted and takes effect once despite ${fault} on its write`, async () => {
    faultNextPut('config/domain/zone-b', fault);
    const receipt = (await settle(fleet.entry(0).give(DRAIN))).unwrap();
    const object = fleet.platform.objects.get('config/domain/zone-b');
    assert.is(object?.version, receipt.version);
    assert.is(fleet.readDomain(2, 'zone-b'), DomainState.Drained);
    assert.is((object?.value as { orders: unknown[] }).orders.length, 1);
  });
});

test('an order given with the same id at two entries takes effect once', async () => {
  const first = (await settle(fleet.entry(0).give(DRAIN, 'order-7'))).unwrap();
  const second = (await settle(fleet.entry(1).give(DRAIN, 'order-7'))).unwrap();
  assert.is(first.version, second.version);
  assert.is(fleet.platform.objects.get('config/domain/zone-b')?.version, first.version);
});

test('a later order supersedes an earlier one', async () => {
  const drain = (await settle(fleet.entry(0).give(DRAIN))).unwrap();
  (await settle(fleet.entry(1).give(RESTORE))).unwrap();
  const status = (await settle(fleet.entry(2).read(drain.orderId))).unwrap();
  assert.is(status.state, OrderState.Superseded);
  assert.is(status.version, drain.version);
});

test('an order is not in force while a frozen entry may still hold its configuration lease', async () => {
  fleet.clock.freeze(fleet.entry(2).node);
  const receipt = (await settle(fleet.entry(0).give(DRAIN), 100)).unwrap();
  await fleet.advance(2_000);
  const status = (await settle(fleet.entry(0).read(receipt.orderId), 100)).unwrap();
  assert.is(status.state, OrderState.Accepted);
  assert.equal(
    status.missing.map(({ process }) => process),
    ['entry-2'],
  );
});

test('an order is in force once the configuration lease of a frozen entry has expired', async () => {
  fleet.clock.freeze(fleet.entry(2).node);
  const receipt = (await settle(fleet.entry(0).give(DRAIN), 3_000)).unwrap();
  await settle(fleet.entry(0).read(receipt.orderId), 100);
  await fleet.advance(fleet.timing.configLeaseMs + fleet.timing.tickLimitMs + 100);
  const status = (await settle(fleet.entry(0).read(receipt.orderId), 100)).unwrap();
  assert.is(status.state, OrderState.InForce);
  const before = fleet.side('zone-b').engine.startsMs.length;
  fleet.clock.thaw(fleet.entry(2).node);
  await fleet.advance(5_000);
  assert.is(fleet.side('zone-b').engine.startsMs.length, before);
});

test("an order is not in force while two isolated entries can renew each other's leases", async () => {
  [1, 2].forEach((index) => {
    fleet.entry(index).store.setFault(StoreFault.Silent);
    fleet.network.cut(fleet.entry(0).node, fleet.entry(index).node);
    DOMAINS.forEach((_, side) => fleet.network.cut(fleet.entry(index).node, `worker-${side}`));
  });
  await fleet.advance(5_000);
  const receipt = (await settle(fleet.entry(0).give(DRAIN), 100)).unwrap();
  await settle(fleet.entry(0).read(receipt.orderId), 20_000);
  const status = (await settle(fleet.entry(0).read(receipt.orderId), 100)).unwrap();
  assert.ok(fleet.entry(1).board.isCurrent);
  assert.is(status.state, OrderState.Accepted);
});

test('an order given while the platform is down is refused and never takes effect', async () => {
  fleet.entry(0).store.setFault(StoreFault.Unavailable);
  const outcome = await settle(fleet.entry(0).give(DRAIN, 'order-1'));
  assert.is(outcome.ok === false && outcome.val.kind, OrderErrorKind.PlatformUnavailable);
  fleet.entry(0).store.setFault(StoreFault.None);
  await fleet.advance(30_000);
  assert.is(fleet.readDomain(0, 'zone-b'), DomainState.Active);
});

test('two concurrent drains cannot take the last two domains out of service', async () => {
  (await settle(fleet.entry(0).give({ ...DRAIN, target: 'zone-a' }))).unwrap();
  const one = fleet.entry(1).give({ ...DRAIN, target: 'zone-b' });
  const other = fleet.entry(2).give({ ...DRAIN, target: 'zone-c' });
  const outcomes = [await settle(one), await settle(other)];
  const kinds = outcomes.map((outcome) => (outcome.ok ? undefined : outcome.val.kind));
  assert.is(outcomes.filter((outcome) => outcome.ok).length, 1);
  assert.ok(kinds.includes(OrderErrorKind.LastDomain));
});

test('a drain that would overload the other domains is refused unless forced', async () => {
  fleet.entries.forEach(({ board }) =>
    board.upstreams.forEach((upstream) => {
      if (upstream.report) Object.assign(upstream, { report: { ...upstream.report, limit: 0 } });
    }),
  );
  const refused = await settle(fleet.entry(0).give(DRAIN), 0);
  assert.is(refused.ok === false && refused.val.kind, OrderErrorKind.Overload);
  const receipt = (await settle(fleet.entry(0).give({ ...DRAIN, isForced: true }))).unwrap();
  assert.equal(
    receipt.forecast.map(({ domain }) => domain),
    ['zone-a', 'zone-c'],
  );
});

test('an invalid value is refused with the field and the allowed values', async () => {
  const outcome = await settle(
    fleet.entry(0).give({
      action: OrderAction.ChangeSetting,
      target: 'retry-share',
      params: { value: 3 },
    }),
  );
  assert.is(outcome.ok === false && outcome.val.kind, OrderErrorKind.Invalid);
  assert.match(outcome.ok === false ? outcome.val.detail : '', /retry-share: value: .*<=1/u);
});

test.run();
