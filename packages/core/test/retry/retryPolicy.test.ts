import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { Outcome, RefusalReason } from '../../src/model/reason.js';
import { Random } from '../../src/ports/random.js';
import { RetryPolicy } from '../../src/retry/retryPolicy.js';

const SHARE = 0.1;

const FAILED = {
  outcome: Outcome.NotRun as const,
  isRepeatable: true,
  isCommitted: false,
  isGateRefusal: false,
};

/** Number of retries granted out of a number of failed attempts at one time. */
function countRetries(policy: RetryPolicy, attempts: number, nowMs: number): number {
  return Array.from({ length: attempts }).filter(() => policy.decide(FAILED, 0, SHARE, nowMs).ok)
    .length;
}

function noteRequests(policy: RetryPolicy, count: number, nowMs: number): void {
  Array.from({ length: count }).forEach(() => policy.noteRequest(nowMs));
}

test('retries stay within their share of the requests in the window', () => {
  const policy = new RetryPolicy(new Random(1));
  noteRequests(policy, 1_000, 0);
  assert.is(countRetries(policy, 500, 10_000), 100);
  assert.is(countRetries(policy, 500, 29_000), 0);
});

test('requests that have left the window no longer count towards the budget', () => {
  const policy = new RetryPolicy(new Random(1));
  noteRequests(policy, 1_000, 0);
  noteRequests(policy, 100, 45_000);
  assert.is(countRetries(policy, 500, 45_000), 10);
});

test('the floor allows a few retries at low traffic', () => {
  const policy = new RetryPolicy(new Random(1));
  policy.noteRequest(0);
  assert.is(countRetries(policy, 50, 0), 5);
});

test('to ask for a retry takes nothing from the budget', () => {
  const policy = new RetryPolicy(new Random(1));
  Array.from({ length: 20 }).forEach(() => assert.ok(policy.canRetryFailure(SHARE, 0)));
  assert.is(countRetries(policy, 50, 0), 5);
  assert.not(policy.canRetryFailure(SHARE, 0));
  assert.ok(policy.canRetryFailure(SHARE, 30_000));
});

test('gate refusals do not use the budget and are limited per request', () => {
  const policy = new RetryPolicy(new Random(1));
  const refused = { ...FAILED, isGateRefusal: true };
  const granted = Array.from({ length: 20 }, (_, index) =>
    policy.decide(refused, index + 1, SHARE, 0),
  );
  assert.is(granted.filter((decision) => decision.ok).length, 15);
  assert.is(granted[19]?.val, RefusalReason.UpstreamFull);
  assert.is(countRetries(policy, 50, 0), 5);
});

test('backoff has jitter, follows the retry-after hint and is capped', () => {
  const policy = new RetryPolicy(new Random(1));
  const first = Array.from({ length: 20 }, () => policy.computeBackoffMs(0, 0));
  assert.ok(new Set(first).size > 5);
  assert.ok(Math.max(...first) <= 30);
  assert.ok(policy.computeBackoffMs(0, 400) >= 200);
  assert.ok(policy.computeBackoffMs(50, 0) <= 1_500);
});

test.run();
