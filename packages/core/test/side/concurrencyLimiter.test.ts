import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { MessageType } from '../../src/messages/message.js';
import { RefusalReason } from '../../src/model/reason.js';
import { Warmth } from '../../src/model/report.js';
import { DEFAULT_TIMING } from '../../src/model/timing.js';
import { EngineFailureKind } from '../../src/ports/engine.js';

import { SETTLE_MS, startNode, withSide, type SideFixture } from './sideFixture.js';
import { TestEntry } from './testEntry.js';

/** Time in which a batch of attempts completes on a warm engine. */
const ROUND_MS = 300;

/** Time to the first byte of a warm engine. */
const FIRST_BYTE_MS = 50;

let lastId = 0;

/** Submits more attempts than any limit, and returns how many are running. */
function submitMany({ engine }: SideFixture, entry: TestEntry): number {
  Array.from({ length: 12 }, () => {
    lastId += 1;
    return entry.submit(`f${lastId}`);
  });
  return engine.runningCount;
}

/** Submits and completes attempts until the upstream counts as warm. */
async function warmUp(fixture: SideFixture, entry: TestEntry): Promise<void> {
  if (fixture.board.warmth === Warmth.Warm) return;
  submitMany(fixture, entry);
  await fixture.clock.tickAsync(ROUND_MS);
  await warmUp(fixture, entry);
}

test('the limit rises only as attempts complete, not as time passes', () =>
  withSide(async (fixture, entry) => {
    await fixture.clock.tickAsync(60_000);
    assert.is(fixture.board.limit, 2);
    await warmUp(fixture, entry);
    assert.is(submitMany(fixture, entry), 8);
    assert.equal(fixture.engine.overruns, []);
  }));

test('attempts of all entries count against the limit', () =>
  withSide(async (fixture, entry) => {
    const other = new TestEntry('entry-2');
    other.connect(fixture.node);
    submitMany(fixture, entry);
    assert.is(submitMany(fixture, other), 2);
  }));

test('attempts that complete at less than half of the limit do not raise it', () =>
  withSide(async (fixture, entry) => {
    await warmUp(fixture, entry);
    fixture.engine.set({ failure: EngineFailureKind.Declined });
    entry.submit('declined');
    await fixture.clock.tickAsync(10);
    fixture.engine.set({ failure: undefined });
    assert.is(fixture.board.limit, 4);
    entry.submit('single');
    await fixture.clock.tickAsync(ROUND_MS);
    assert.is(fixture.board.limit, 4);
  }));

test('a new engine process starts with the cold limit', () =>
  withSide(async (fixture, entry) => {
    await warmUp(fixture, entry);
    fixture.engine.restart();
    fixture.engine.setWarm(true);
    await fixture.clock.tickAsync(DEFAULT_TIMING.engineReportMs + 1);
    assert.is(submitMany(fixture, entry), 2);
  }));

test('a broken call resets to the cold limit before the next report', () =>
  withSide(async (fixture, entry) => {
    await warmUp(fixture, entry);
    entry.submit('broken');
    fixture.engine.restart();
    submitMany(fixture, entry);
    assert.equal(fixture.engine.overruns, []);
  }));

test('calls that outlive their connection count until a report shows that they have ended', () =>
  withSide(async (fixture, entry) => {
    fixture.engine.set({ responseBytes: 300, warmLimit: 2 });
    submitMany(fixture, entry);
    fixture.engine.breakConnections();
    submitMany(fixture, entry);
    await fixture.clock.tickAsync(3_000);
    assert.is(submitMany(fixture, entry), 2);
    assert.equal(fixture.engine.overruns, []);
  }));

test('a cancelled call counts until the engine has certainly stopped it', () =>
  withSide(
    async (fixture, entry) => {
      fixture.engine.set({ warmLimit: 2 });
      ['c1', 'c2'].forEach((id) => entry.submit(id, { isRepeatable: true }));
      entry.link.receive({ type: MessageType.Cancel, attemptId: 'c1' });
      submitMany(fixture, entry);
      await fixture.clock.tickAsync(ROUND_MS);
      assert.is(submitMany(fixture, entry), 2);
      assert.equal(fixture.engine.overruns, []);
    },
    { coldLimit: 2, warmLimit: 2 },
  ));

test('attempts admitted before the limit was lowered do not raise it', () =>
  withSide(async (fixture, entry) => {
    await warmUp(fixture, entry);
    Array.from({ length: 7 }, (_, index) => entry.submit(`before-${index}`));
    fixture.engine.set({ failure: EngineFailureKind.Declined });
    entry.submit('declined');
    await fixture.clock.tickAsync(ROUND_MS);
    assert.is(fixture.board.limit, 4);
  }));

test('an engine that reports itself cold gets the cold limit', () =>
  withSide(async (fixture, entry) => {
    await warmUp(fixture, entry);
    fixture.engine.setWarm(false);
    await fixture.clock.tickAsync(DEFAULT_TIMING.engineReportMs + 1);
    assert.is(submitMany(fixture, entry), 2);
  }));

test('a hanging report resets to the cold limit once it is stale, until attempts complete', () =>
  withSide(async (fixture, entry) => {
    await warmUp(fixture, entry);
    fixture.engine.set({ isReportHanging: true });
    await fixture.clock.tickAsync(DEFAULT_TIMING.engineReportLimitMs + 500);
    fixture.engine.set({ isReportHanging: false });
    await fixture.clock.tickAsync(DEFAULT_TIMING.engineReportLimitMs);
    assert.is(fixture.board.limit, 2);
  }));

test('a failed report applies the cold limit at once and the next good report lifts it', () =>
  withSide(async (fixture, entry) => {
    await warmUp(fixture, entry);
    fixture.engine.set({ isReportFailing: true });
    await fixture.clock.tickAsync(DEFAULT_TIMING.engineReportMs + 1);
    assert.is(fixture.board.limit, 2);
    fixture.engine.set({ isReportFailing: false });
    await fixture.clock.tickAsync(DEFAULT_TIMING.engineReportMs + 1);
    assert.is(fixture.board.limit, 8);
  }));

test('late first bytes reveal a cold engine that reports itself warm', () =>
  withSide(async (fixture, entry) => {
    await warmUp(fixture, entry);
    fixture.engine.set({ claimsWarm: true });
    fixture.engine.setWarm(false);
    submitMany(fixture, entry);
    await fixture.clock.tickAsync(FIRST_BYTE_MS * 5);
    entry.submit('late');
    assert.is(fixture.board.limit, 2);
    await fixture.clock.tickAsync(20_000);
    assert.is(submitMany(fixture, entry), 2);
    await fixture.clock.tickAsync(1_000);
    assert.is(fixture.board.limit, 2);
  }));

test('a warm upstream restarts from the cold limit after a long idle time', () =>
  withSide(async (fixture, entry) => {
    await warmUp(fixture, entry);
    await fixture.clock.tickAsync(11_000);
    assert.is(submitMany(fixture, entry), 2);
  }));

test('nothing is admitted before a report has shown the work of the earlier incarnation', () =>
  withSide(async (fixture, entry) => {
    fixture.engine.set({ responseBytes: 3_000 });
    fixture.engine.set({ reportLagMs: 900 });
    submitMany(fixture, entry);
    const { node, board } = startNode(fixture, 's2');
    const successor = new TestEntry('entry-2');
    successor.connect(node);
    await fixture.clock.tickAsync(500);
    assert.is(board.limit, 0);
    await fixture.clock.tickAsync(SETTLE_MS);
    successor.submit('a1');
    assert.is(successor.readReason('a1'), RefusalReason.UpstreamCold);
    assert.is(board.inFlight, 2);
    await fixture.clock.tickAsync(10_000);
    successor.submit('a2');
    assert.ok(fixture.engine.executions.has('a2'));
  }));

test('a lagging report does not hide work of an earlier incarnation behind newer attempts', () =>
  withSide(
    async (fixture, entry) => {
      fixture.engine.set({ responseBytes: 3_000, warmLimit: 4, reportLagMs: 900 });
      ['e1', 'e2'].forEach((id) => entry.submit(id));
      const { node } = startNode(fixture, 's2', { coldLimit: 4, warmLimit: 4 });
      const successor = new TestEntry('entry-2');
      successor.connect(node);
      await fixture.clock.tickAsync(SETTLE_MS + 500);
      submitMany(fixture, successor);
      await fixture.clock.tickAsync(DEFAULT_TIMING.engineReportMs * 2);
      assert.is(submitMany(fixture, successor), 4);
      assert.equal(fixture.engine.overruns, []);
    },
    { coldLimit: 4, warmLimit: 4 },
  ));

test('a plain service needs no report, and its failures lower the limit', () =>
  withSide(
    async (fixture, entry) => {
      fixture.engine.set({ isReportHanging: true });
      await warmUp(fixture, entry);
      fixture.engine.set({ failure: EngineFailureKind.NotSent });
      entry.submit('lost');
      await fixture.clock.tickAsync(10);
      assert.is(fixture.board.limit, 2);
    },
    { isPlain: true },
  ));

test('a refusal for lack of capacity has a retry delay; limit changes are reported at once', () =>
  withSide(async (fixture, entry) => {
    submitMany(fixture, entry);
    assert.ok(entry.list(MessageType.Refused).every(({ retryAfterMs }) => retryAfterMs > 0));
    await fixture.clock.tickAsync(DEFAULT_TIMING.reportMs / 2);
    const limits = entry.list(MessageType.Report).map(({ report }) => report.limit);
    assert.is(limits[limits.length - 1], fixture.board.limit);
    assert.ok(limits.includes(3));
  }));

test.run();
