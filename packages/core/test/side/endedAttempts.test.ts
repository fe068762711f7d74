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

test.run();
