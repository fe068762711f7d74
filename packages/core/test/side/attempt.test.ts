import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { AttemptState, MessageType } from '../../src/messages/message.js';
import { Outcome, RefusalReason } from '../../src/model/reason.js';
import { DEFAULT_TIMING } from '../../src/model/timing.js';
import { EngineFailureKind } from '../../src/ports/engine.js';

import { assertResponse } from './fakeEngine.js';
import { SETTLE_MS, withSide } from './sideFixture.js';
import { TestEntry } from './testEntry.js';

const LARGE_BYTES = 1_500_000;

function readStates(entry: TestEntry): AttemptState[] {
  return entry.list(MessageType.InquiryAnswer).map((answer) => answer.state);
}

test('a non-repeatable attempt outlives its link and is resumed at the offset', () =>
  withSide(async ({ clock, node, engine }, entry) => {
    entry.submit('a1');
    await clock.tickAsync(75);
    const first = entry.readResponse('a1');
    entry.link.close('cut');
    await clock.tickAsync(DEFAULT_TIMING.inquiryLimitMs * 2);
    const successor = new TestEntry(entry.name);
    successor.connect(node);
    successor.inquire('a1', first.length);
    const rest = successor.readResponse('a1', first.length);
    assertResponse(Uint8Array.from([...first, ...rest]), 'a1', 30);
    assert.ok(first.length > 0 && rest.length > 0);
    assert.is(successor.list(MessageType.End)[0]?.totalBytes, 30);
    assert.is(engine.executions.get('a1'), 1);
  }));

test('a running attempt moves to the link that inquires about it', () =>
  withSide(async ({ clock, node }, entry) => {
    entry.submit('a1');
    await clock.tickAsync(75);
    const other = new TestEntry('entry-2');
    other.connect(node);
    other.inquire('a1');
    await clock.tickAsync(200);
    assert.equal(readStates(other), [AttemptState.Running]);
    assertResponse(other.readResponse('a1'), 'a1', 30);
    assert.equal(entry.list(MessageType.End), []);
  }));

test('an orphaned repeatable attempt is cancelled unless an inquiry arrives in time', () =>
  withSide(async ({ clock, node, engine }, entry) => {
    engine.set({ responseBytes: LARGE_BYTES });
    entry.submit('a1', { isRepeatable: true });
    entry.submit('a2', { isRepeatable: true });
    entry.link.close('cut');
    const successor = new TestEntry(entry.name);
    successor.connect(node);
    successor.inquire('a2');
    await clock.tickAsync(DEFAULT_TIMING.inquiryLimitMs + 10);
    assert.equal(engine.cancelled, ['a1']);
  }));

test('cancel stops a repeatable attempt and lets a non-repeatable one finish', () =>
  withSide(async ({ clock, engine }, entry) => {
    entry.submit('a1', { isRepeatable: true });
    entry.submit('a2');
    ['a1', 'a2'].forEach((attemptId) =>
      entry.link.receive({ type: MessageType.Cancel, attemptId }),
    );
    await clock.tickAsync(500);
    assert.equal(engine.cancelled, ['a1']);
    entry.inquire('a2');
    assert.equal(readStates(entry), [AttemptState.Finished]);
  }));

test('at the deadline a repeatable attempt is cancelled and a non-repeatable one continues', () =>
  withSide(async ({ clock, engine }, entry) => {
    entry.submit('a1', { isRepeatable: true, remainingMs: 60 });
    entry.submit('a2', { remainingMs: 60 });
    await clock.tickAsync(500);
    assert.equal(engine.cancelled, ['a1']);
    assert.is(entry.readReason('a1'), RefusalReason.DeadlinePassed);
    assertResponse(entry.readResponse('a2'), 'a2', 30);
  }));

test('a broken response is never reported as complete', () =>
  withSide(async ({ clock, engine }, entry) => {
    entry.submit('a1');
    await clock.tickAsync(75);
    engine.restart();
    entry.inquire('a1');
    assert.equal(entry.list(MessageType.End), []);
    assert.is(entry.list(MessageType.Failed)[0]?.outcome, Outcome.Unknown);
    assert.equal(readStates(entry), [AttemptState.Lost]);
  }));

[EngineFailureKind.NotSent, EngineFailureKind.Declined].forEach((kind) => {
  test(`an attempt that the engine has not accepted (${kind}) is reported as not run`, () =>
    withSide(async ({ clock, engine }, entry) => {
      engine.set({ failure: kind });
      entry.submit('a1');
      await clock.tickAsync(10);
      entry.inquire('a1');
      assert.is(entry.list(MessageType.Failed)[0]?.outcome, Outcome.NotRun);
      assert.equal(readStates(entry), [AttemptState.Dead]);
    }));
});

test('no byte is sent beyond the credit, and the engine is paused until credit is granted', () =>
  withSide(async ({ clock, engine }, entry) => {
    engine.set({ responseBytes: LARGE_BYTES });
    engine.set({ chunkBytes: 10_000 });
    entry.submit('a1', { creditBytes: 50_000 });
    await clock.tickAsync(5_000);
    assert.is(entry.readResponse('a1').length, 50_000);
    assert.is(engine.pauseCount, 1);
    entry.link.receive({ type: MessageType.Credit, attemptId: 'a1', upToOffset: LARGE_BYTES });
    await clock.tickAsync(5_000);
    assertResponse(entry.readResponse('a1'), 'a1', LARGE_BYTES);
  }));

test('an orphaned response above the byte limit is dropped, and its attempt still ends', () =>
  withSide(async ({ clock, engine, node }, entry) => {
    engine.set({ responseBytes: LARGE_BYTES });
    engine.set({ chunkBytes: 10_000 });
    entry.submit('a1');
    entry.link.close('cut');
    await clock.tickAsync(5_000);
    assert.is(engine.runningCount, 0);
    const successor = new TestEntry(entry.name);
    successor.connect(node);
    successor.inquire('a1');
    assert.equal(readStates(successor), [AttemptState.Lost]);
  }));

test('kept responses of all attempts are bounded in total, and the oldest are dropped first', () =>
  withSide(
    async ({ clock, engine, node }, entry) => {
      engine.set({ responseBytes: 1_000_000 });
      engine.set({ chunkBytes: 100_000 });
      const ids = Array.from({ length: 10 }, (_, index) => `a${index}`);
      ids.forEach((id) => entry.submit(id));
      entry.link.close('cut');
      await clock.tickAsync(3_000);
      const successor = new TestEntry(entry.name);
      successor.connect(node);
      ids.forEach((id) => successor.inquire(id));
      const finished = readStates(successor).map((state) => state === AttemptState.Finished);
      assert.equal(finished, [false, false, ...Array.from({ length: 8 }, () => true)]);
    },
    { coldLimit: 10, warmLimit: 10 },
  ));

test('small chunks in quick succession are coalesced into one message', () =>
  withSide(async ({ clock, engine }, entry) => {
    engine.set({ chunkMs: 1 });
    engine.set({ responseBytes: 600 });
    entry.submit('a1');
    await clock.tickAsync(500);
    assertResponse(entry.readResponse('a1'), 'a1', 600);
    assert.ok(entry.list(MessageType.Data).length <= 30);
  }));

/** Guards against places that an attempt keeps, and a response that looks complete. */
test('an attempt whose response has a fault is lost and gives its place back', () =>
  withSide(async ({ clock, board, engine, metrics }, entry) => {
    engine.set({ responseBytes: 60 });
    entry.submit('a1');
    entry.submit('a2');
    await clock.tickAsync(75);
    assert.is(board.inFlight, 2);
    engine.failWithFault('a1');
    assert.equal(
      entry.list(MessageType.Failed).map(({ attemptId, outcome }) => [attemptId, outcome]),
      [['a1', Outcome.Unknown]],
    );
    assert.is(metrics.readCount('fault.contained{part=side}'), 1);
    await clock.tickAsync(SETTLE_MS);
    assert.equal(
      entry.list(MessageType.End).map(({ attemptId }) => attemptId),
      ['a2'],
    );
    assert.is(board.inFlight, 0);
  }));

test('a fault after a response has been delivered does not report it as lost', () =>
  withSide(async ({ clock, engine }, entry) => {
    entry.submit('a1');
    await clock.tickAsync(75);
    const { events } = engine.readCall('a1');
    await clock.tickAsync(500);
    events.onFault(new Error('injected'));
    assert.equal(entry.list(MessageType.Failed), []);
  }));

/** Guards against a process that ends by a report of its engine. */
test('reports are read again after an exception', () =>
  withSide(async ({ clock, board, engine, metrics }) => {
    const readReport = engine.readReport.bind(engine);
    Object.assign(engine, {
      readReport: () => {
        throw new Error('injected');
      },
    });
    await clock.tickAsync(SETTLE_MS);
    assert.ok(metrics.readCount('fault.contained{part=side}') > 1);
    Object.assign(engine, { readReport });
    const faultsEndedAtMs = performance.now();
    await clock.tickAsync(SETTLE_MS);
    assert.ok(board.reportAtMs > faultsEndedAtMs);
  }));

test.run();
