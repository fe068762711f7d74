/** Guards the order in which requests end when memory runs out, and against memory that is lost. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { Awaited, MemoryAccount } from '../../src/memory/memoryAccount.js';
import { MemoryBudget } from '../../src/memory/memoryBudget.js';
import { MemoryKind, MemoryRegion } from '../../src/memory/memoryKind.js';
import { RefusalReason } from '../../src/model/reason.js';

const LIMIT_BYTES = 1_000;

interface Context {
  budget: MemoryBudget;
  nowMs: number;
  evicted: string[];
  open: (name: string, expectedBytes?: number) => MemoryAccount;
}

const test = suite<Context>('memory budget');

test.before.each((context) => {
  context.nowMs = 0;
  context.evicted = [];
  const { evicted } = context;
  const budget = new MemoryBudget({
    limitBytes: { [MemoryRegion.Heap]: LIMIT_BYTES, [MemoryRegion.Buffers]: LIMIT_BYTES },
    getNowMs: () => context.nowMs,
  });
  context.budget = budget;
  context.open = (name, expectedBytes = LIMIT_BYTES) => {
    const onEvict = () => evicted.push(name);
    const account = new MemoryAccount({ budget, expectedBytes, onEvict });
    account.await(Awaited.Body, context.nowMs);
    return account;
  };
});

/** Adds bytes of a body to what an account holds. */
function receive(account: MemoryAccount, bytes: number, nowMs: number): boolean {
  account.noteArrived(bytes, nowMs);
  return account.hold(MemoryKind.Body, bytes);
}

test('what an account holds is given back when it is released, once', ({ budget, open }) => {
  const account = open('one');
  account.hold(MemoryKind.Body, 300);
  account.hold(MemoryKind.Body, 200);
  account.hold(MemoryKind.Head, 100);
  assert.is(budget.readHeldBytes(MemoryKind.Body), 200);
  account.release();
  account.release();
  account.hold(MemoryKind.Body, 300);
  assert.is(budget.readHeldBytes(MemoryKind.Body), 0);
  assert.is(budget.readHeldBytes(MemoryKind.Head), 0);
  assert.is(budget.accounts.size, 0);
});

test('callers that have stopped go first, the one that is idle longest before others', (context) => {
  const [oldest, older, steady] = [
    context.open('oldest'),
    context.open('older'),
    context.open('s'),
  ];
  receive(oldest, 300, 0);
  receive(older, 300, 500);
  context.nowMs = 1_000;
  assert.ok(receive(steady, 500, 1_000));
  assert.equal(context.evicted, ['oldest']);
  context.nowMs = 1_010;
  assert.ok(receive(steady, 800, 1_010));
  assert.equal(context.evicted, ['oldest', 'older']);
});

test('of callers that are sending, the one that has sent least goes first', (context) => {
  const [most, least] = [context.open('most', 500), context.open('least', 5_000)];
  receive(most, 450, 0);
  receive(least, 450, 0);
  assert.ok(receive(most, 600, 10));
  assert.equal(context.evicted, ['least']);
});

test('a body that arrives steadily does not make room for one that has sent less', (context) => {
  const [steady, next] = [context.open('steady'), context.open('next')];
  receive(steady, 800, 0);
  assert.not(receive(next, 300, 0));
  assert.equal(context.evicted, ['next']);
  assert.is(context.budget.readHeldBytes(MemoryKind.Body), 800);
});

test('a body that the entry itself holds back does not count as stopped', (context) => {
  const [held, stopped] = [context.open('held'), context.open('stopped')];
  receive(held, 300, 0);
  held.hold(MemoryKind.Unread, 100);
  receive(stopped, 300, 0);
  context.nowMs = 1_000;
  receive(context.open('new'), 400, 1_000);
  assert.equal(context.evicted, ['stopped']);
});

test('a complete body is not evicted for others; the one that needs room is', (context) => {
  const [complete, next] = [context.open('complete'), context.open('next')];
  receive(complete, 900, 0);
  complete.await(Awaited.Nothing, 0);
  context.nowMs = 1_000;
  assert.not(receive(next, 200, 1_000));
  assert.equal(context.evicted, ['next']);
});

test('an answer that is not read is evicted once its reader has stopped', (context) => {
  const reader = context.open('reader');
  reader.await(Awaited.Reader, 0);
  reader.hold(MemoryKind.Answer, 800);
  context.nowMs = 1_000;
  assert.ok(receive(context.open('new'), 300, 1_000));
  assert.equal(context.evicted, ['reader']);
});

test('a hold that needs no eviction is declined when memory is short', (context) => {
  receive(context.open('one'), 800, 0);
  const other = context.open('other');
  assert.not(other.tryHold(MemoryKind.Response, 300));
  assert.ok(other.tryHold(MemoryKind.Response, 200));
  assert.equal(context.evicted, []);
});

test('a request is not ended while there is room for it, after others have been', (context) => {
  const [complete, stopped] = [context.open('complete'), context.open('stopped')];
  receive(complete, 850, 0);
  complete.await(Awaited.Nothing, 0);
  receive(stopped, 100, 0);
  context.nowMs = 1_000;
  assert.ok(receive(context.open('next'), 100, 1_000));
  assert.equal(context.evicted, ['stopped']);
});

test('a request that is being evicted is not evicted again by what follows', ({ budget, open }) => {
  let evictions = 0;
  const other = open('other');
  other.hold(MemoryKind.Body, 800);
  other.await(Awaited.Nothing, 0);
  const evicted = new MemoryAccount({
    budget,
    expectedBytes: LIMIT_BYTES,
    onEvict: () => {
      evictions += 1;
      if (evictions === 1) other.hold(MemoryKind.Body, 950);
    },
  });
  evicted.await(Awaited.Body, 0);
  evicted.hold(MemoryKind.Body, 100);
  evicted.evict(RefusalReason.RequestTooSlow);
  assert.is(evictions, 1);
});

test('evictions are counted by reason', ({ budget, open }) => {
  open('one').evict(RefusalReason.RequestTooSlow);
  assert.equal([...budget.takeEvicted()], [[RefusalReason.RequestTooSlow, 1]]);
  assert.is(budget.takeEvicted().size, 0);
});

test.run();
