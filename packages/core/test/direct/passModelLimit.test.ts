import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { PassModelLimit } from '../../src/direct/passModelLimit.js';
import { PassModel } from '../../src/direct/passModel.js';

import { COSTLY_DECODE_COSTS } from './groupModel.js';

const SLOTS = 8;

const TARGET_MS = 120;

/** Prompt tokens that each engine prefills in a pass. */
const PREFILL_TOKENS = 330;

const model = new PassModel(COSTLY_DECODE_COSTS);

/** Records the pauses of several passes, each with events of many streams. */
function notePasses(
  limit: PassModelLimit,
  slowdown: number,
  passes: number,
  startMs: number,
): number {
  const decodingRequests = 4;
  const passMs = slowdown * model.predictMs(decodingRequests, PREFILL_TOKENS);
  for (let pass = 1; pass <= passes; pass += 1) {
    for (let stream = 0; stream < 20; stream += 1) {
      const pause = { pauseMs: passMs, targetMs: TARGET_MS, decodingRequests };
      limit.notePause(pause, startMs + pass * passMs);
    }
  }
  return startMs + passes * passMs;
}

test('a pass time is the sum of its steps, decoding requests and prefills', () => {
  const emptyMs = model.predictMs(0, 0);
  assert.is(emptyMs, 4 * 4.55);
  assert.ok(Math.abs(model.predictMs(0, 614) - emptyMs - 10) < 0.001);
  const decodingRequests = model.solveDecodingRequests(model.predictMs(5, 300), 300);
  assert.ok(Math.abs(decodingRequests - 5) < 0.001);
});

test('the limit allows all slots before any pause was observed', () => {
  assert.is(new PassModelLimit(model, SLOTS).value, SLOTS);
});

test('one adjustment is enough to find the limit that keeps slower passes on time', () => {
  const limit = new PassModelLimit(model, SLOTS);
  const nowMs = notePasses(limit, 1.3, 20, 0);
  assert.is(limit.value, SLOTS);
  notePasses(limit, 2.2, 8, nowMs);
  assert.ok(limit.value < SLOTS);
  const passMs = 2.2 * model.predictMs(limit.value, PREFILL_TOKENS);
  assert.ok(passMs <= TARGET_MS * 1.02, `passes of ${passMs} ms`);
});

test('the limit increases slowly, as demand that has shifted once will shift again', () => {
  const limit = new PassModelLimit(model, SLOTS);
  let nowMs = notePasses(limit, 2.2, 20, 0);
  const low = limit.value;
  nowMs = notePasses(limit, 1.2, 10, nowMs);
  assert.ok(limit.value < low + 1, 'not within half a second');
  notePasses(limit, 1.2, 400, nowMs);
  assert.is(limit.value, SLOTS);
});

test('all slots are used if even one request makes passes too long: late is better than never', () => {
  const limit = new PassModelLimit(model, SLOTS);
  notePasses(limit, 6, 20, 0);
  assert.is(limit.value, SLOTS);
});

test('fewer prefills run at a time while passes are slow', () => {
  const fast = new PassModelLimit(model, SLOTS);
  notePasses(fast, 1.2, 20, 0);
  const slow = new PassModelLimit(model, SLOTS);
  notePasses(slow, 2.4, 20, 0);
  assert.ok(slow.concurrentPrefills < fast.concurrentPrefills * 0.7);
});

// Guards against late streams and refusals for seconds after a map switch has held all passes.
test('a stall of the group does not change the limit', () => {
  const limit = new PassModelLimit(model, SLOTS);
  const nowMs = notePasses(limit, 2.2, 20, 0);
  const before = limit.slowdown;
  const stallSlowdown = 1_500 / model.predictMs(4, PREFILL_TOKENS);
  notePasses(limit, stallSlowdown, 1, nowMs);
  assert.is(limit.slowdown, before);
});

test.run();
