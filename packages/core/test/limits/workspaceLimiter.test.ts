import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { WorkspaceLimiter } from '../../src/limits/workspaceLimiter.js';

function createWorkspace(name: string) {
  const limit = { requestsPerSecond: 10, burst: 20, weight: 1 };
  return { name, keySha256: '', orders: [], ...limit };
}

/** Tokens taken until the first refusal. */
function takeAll(limiter: WorkspaceLimiter, entryCount: number, nowMs: number): number {
  const isTaken = limiter.take(createWorkspace('choir'), entryCount, nowMs) === 0;
  return isTaken ? 1 + takeAll(limiter, entryCount, nowMs) : 0;
}

test('a burst is admitted, then requests at the configured rate', () => {
  const limiter = new WorkspaceLimiter();
  assert.is(takeAll(limiter, 1, 0), 20);
  assert.is(limiter.take(createWorkspace('choir'), 1, 0), 100);
  assert.is(takeAll(limiter, 1, 1_000), 10);
});

test('entries with equal shares together keep to the limit', () => {
  const limiters = Array.from({ length: 4 }, () => new WorkspaceLimiter());
  const taken = limiters.map((limiter) => takeAll(limiter, 4, 0) + takeAll(limiter, 4, 400));
  assert.is(
    taken.reduce((sum, count) => sum + count, 0),
    24,
  );
});

test('buckets of idle workspaces are deleted', () => {
  const limiter = new WorkspaceLimiter();
  Array.from({ length: 35_000 }).forEach((_, number) =>
    limiter.take(createWorkspace(`w${number}`), 1, number * 10),
  );
  assert.ok(limiter.size <= 1_024);
});

test.run();
