/** Attempts whose whole response a side process has, and whose entry lacks only a part of it. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { AttemptState, MessageType } from '../../src/messages/message.js';
import { DEFAULT_TIMING } from '../../src/model/timing.js';

import { SETTLE_MS, withSide } from './sideFixture.js';
import { TestEntry } from './testEntry.js';

/** Bytes of the response of an attempt, unless the engine is set otherwise. */
const RESPONSE_BYTES = 30;

/** Ended attempts whose responses together are above the limit of what is kept. */
const LARGE_COUNT = 10;
const LARGE_BYTES = 1_000_000;

/** Credit for a whole large response. */
const LARGE_CREDIT_BYTES = 2 * LARGE_BYTES;

/** Attempts that are more than the ended ones that are remembered. */
const RECORD_BATCHES = 11;
const BATCH_COUNT = 1_000;

/** Longer than one batch takes. */
const BATCH_MS = 250;

const test = suite('ended attempts');

/** Runs a test with an entry that inquires after the response of `a1` was sent and dropped. */
function withDropped(run: (successor: TestEntry) => void): Promise<void> {
  return withSide(
    async ({ clock, engine, node }, entry) => {
      entry.submit('a1');
      await clock.tickAsync(SETTLE_MS);
      assert.is(entry.list(MessageType.End).length, 1);
      engine.set({ responseBytes: LARGE_BYTES });
      engine.set({ chunkBytes: LARGE_BYTES / LARGE_COUNT });
      Array.from({ length: LARGE_COUNT }, (_, index) =>
        entry.submit(`b${index}`, { creditBytes: LARGE_CREDIT_BYTES }),
      );
      await clock.tickAsync(SETTLE_MS);
      assert.is(entry.list(MessageType.End).length, 1 + LARGE_COUNT);
      entry.link.close('cut');
      const successor = new TestEntry(entry.name);
      successor.connect(node);
      run(successor);
    },
    { coldLimit: LARGE_COUNT, warmLimit: LARGE_COUNT },
  );
}

/** Guards against a whole response that is given up because only its end was lost. */
test('the end of a response is told after its bytes were dropped', () =>
  withDropped((successor) => {
    successor.inquire('a1', RESPONSE_BYTES);
    const [answer] = successor.list(MessageType.InquiryAnswer);
    assert.is(answer?.state, AttemptState.Finished);
    assert.is(successor.list(MessageType.End)[0]?.totalBytes, RESPONSE_BYTES);
  }));

test('a response whose bytes were dropped is lost for an entry that lacks one of them', () =>
  withDropped((successor) => {
    successor.inquire('a1', RESPONSE_BYTES - 1);
    const [answer] = successor.list(MessageType.InquiryAnswer);
    assert.is(answer?.state, AttemptState.Lost);
    assert.is(successor.list(MessageType.End).length, 0);
  }));

/** Guards against a whole response that is dropped while its caller reads slowly. */
test('a response that waits for credit is kept until it has been sent', () =>
  withSide(async ({ clock }, entry) => {
    const remainingMs = 2 * DEFAULT_TIMING.attemptKeptMs;
    entry.submit('a1', { remainingMs, creditBytes: RESPONSE_BYTES - 1 });
    await clock.tickAsync(DEFAULT_TIMING.attemptKeptMs + SETTLE_MS);
    assert.is(entry.list(MessageType.End).length, 0);
    const upToOffset = RESPONSE_BYTES;
    entry.link.receive({ type: MessageType.Credit, attemptId: 'a1', upToOffset });
    assert.is(entry.list(MessageType.End)[0]?.totalBytes, RESPONSE_BYTES);
  }));

/** Guards against responses that pile up, and a stop that waits for nobody. */
test('a response that its entry has cancelled is no longer kept', () =>
  withSide(async ({ clock, node }, entry) => {
    const remainingMs = 2 * DEFAULT_TIMING.attemptKeptMs;
    entry.submit('a1', { remainingMs, isRepeatable: true, creditBytes: RESPONSE_BYTES - 1 });
    await clock.tickAsync(SETTLE_MS);
    entry.link.receive({ type: MessageType.Cancel, attemptId: 'a1' });
    let isStopped = false;
    node.stop().then(() => {
      isStopped = true;
    });
    await clock.tickAsync(SETTLE_MS);
    assert.ok(isStopped);
  }));

test('a response that waits for credit is dropped after its deadline', () =>
  withSide(async ({ clock }, entry) => {
    const remainingMs = DEFAULT_TIMING.attemptKeptMs + 2 * SETTLE_MS;
    entry.submit('a1', { remainingMs, creditBytes: RESPONSE_BYTES - 1 });
    await clock.tickAsync(remainingMs - SETTLE_MS);
    entry.inquire('a1', 0, { creditBytes: 0 });
    await clock.tickAsync(2 * SETTLE_MS);
    entry.inquire('a1');
    const states = entry.list(MessageType.InquiryAnswer).map(({ state }) => state);
    assert.equal(states, [AttemptState.Finished, AttemptState.Lost]);
  }));

test('of responses that wait for credit long, the oldest above the byte limit are dropped', () =>
  withSide(
    async ({ clock, engine }, entry) => {
      const remainingMs = 10 * DEFAULT_TIMING.attemptKeptMs;
      const creditBytes = LARGE_BYTES - LARGE_BYTES / LARGE_COUNT;
      engine.set({ responseBytes: LARGE_BYTES });
      engine.set({ chunkBytes: LARGE_BYTES / LARGE_COUNT });
      const ids = Array.from({ length: LARGE_COUNT }, (_, index) => `a${index}`);
      ids.forEach((id) => entry.submit(id, { remainingMs, creditBytes }));
      await clock.tickAsync(DEFAULT_TIMING.attemptKeptMs + 2 * SETTLE_MS);
      assert.is(entry.list(MessageType.End).length, 0);
      ids.forEach((attemptId) =>
        entry.link.receive({ type: MessageType.Credit, attemptId, upToOffset: LARGE_BYTES }),
      );
      const whole = entry.list(MessageType.End).map(({ attemptId }) => attemptId);
      assert.equal(whole, ids.slice(2));
    },
    { coldLimit: LARGE_COUNT, warmLimit: LARGE_COUNT },
  ));

/** Guards against a response that is dropped for the records of others that are delivered. */
test('a response that waits for credit outlasts ten thousand delivered ones', () =>
  withSide(
    async ({ clock }, entry) => {
      entry.submit('a1', { creditBytes: RESPONSE_BYTES - 1 });
      for (let batch = 0; batch < RECORD_BATCHES; batch += 1) {
        const submit = entry.makeSubmit('');
        Array.from({ length: BATCH_COUNT }, (_, index) =>
          entry.link.receive({ ...submit, attemptId: `b${batch}.${index}` }),
        );
        // eslint-disable-next-line no-await-in-loop -- one batch after the other
        await clock.tickAsync(BATCH_MS);
      }
      assert.is(entry.list(MessageType.End).length, RECORD_BATCHES * BATCH_COUNT);
      const upToOffset = RESPONSE_BYTES;
      entry.link.receive({ type: MessageType.Credit, attemptId: 'a1', upToOffset });
      const ends = entry.list(MessageType.End);
      assert.is(ends[ends.length - 1]?.attemptId, 'a1');
    },
    { coldLimit: 2 * BATCH_COUNT, warmLimit: 2 * BATCH_COUNT },
  ));

test.run();
