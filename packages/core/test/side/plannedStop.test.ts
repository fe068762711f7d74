import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { AttemptState, MessageType } from '../../src/messages/message.js';
import { RefusalReason } from '../../src/model/reason.js';
import { DEFAULT_TIMING } from '../../src/model/timing.js';

import { assertResponse } from './fakeEngine.js';
import { makeDomainChange, withSide, type SideFixture } from './sideFixture.js';
import { TestEntry } from './testEntry.js';

function watchStop({ node }: SideFixture): { isDone: boolean } {
  const state = { isDone: false };
  node.stop().then(() => {
    state.isDone = true;
  });
  return state;
}

test('a planned stop informs entries first and lets attempts in flight finish', () =>
  withSide(async (fixture, entry) => {
    fixture.engine.set({ responseBytes: 3_000 });
    entry.submit('a1');
    const stop = watchStop(fixture);
    const heartbeats = entry.list(MessageType.Heartbeat);
    assert.is(heartbeats[heartbeats.length - 1]?.isStopping, true);
    await fixture.clock.tickAsync(5_000);
    assert.not(stop.isDone);
    await fixture.clock.tickAsync(3_000);
    assert.ok(stop.isDone);
    assert.not(entry.link.isOpen);
    assertResponse(entry.readResponse('a1'), 'a1', 3_000);
  }));

test('a planned stop waits for an entry to reconnect for an undelivered response', () =>
  withSide(async (fixture, entry) => {
    entry.submit('a1');
    entry.link.close('cut');
    const stop = watchStop(fixture);
    await fixture.clock.tickAsync(DEFAULT_TIMING.inquiryLimitMs);
    assert.not(stop.isDone);
    const successor = new TestEntry(entry.name);
    successor.connect(fixture.node);
    successor.inquire('a1');
    await fixture.clock.tickAsync(2_000);
    assert.ok(stop.isDone);
    assertResponse(successor.readResponse('a1'), 'a1', 30);
  }));

test('a planned stop ends only after every entry has acknowledged it', () =>
  withSide(async (fixture, entry) => {
    entry.freeze();
    const stop = watchStop(fixture);
    await fixture.clock.tickAsync(DEFAULT_TIMING.heartbeatMs);
    entry.submit('a1');
    assert.is(entry.readReason('a1'), RefusalReason.ShuttingDown);
    assert.not(stop.isDone);
    entry.sendHeartbeat();
    await fixture.clock.tickAsync(DEFAULT_TIMING.reportMs);
    assert.ok(stop.isDone);
  }));

test('a drained domain lets work finish, and cancels only repeatable work after moveAfterMs', () =>
  withSide(async (fixture, entry) => {
    fixture.engine.set({ responseBytes: 3_000 });
    entry.submit('a1', { isRepeatable: true });
    entry.submit('a2');
    entry.link.receive(makeDomainChange({ state: 'drained', moveAfterMs: 2_000 }));
    await fixture.clock.tickAsync(1_900);
    assert.equal(fixture.engine.cancelled, []);
    await fixture.clock.tickAsync(500);
    assert.equal(fixture.engine.cancelled, ['a1']);
    assert.is(entry.readReason('a1'), RefusalReason.DomainDrained);
    await fixture.clock.tickAsync(6_000);
    assertResponse(entry.readResponse('a2'), 'a2', 3_000);
  }));

test('a restore before moveAfterMs keeps the work, and a late older drain is ignored', () =>
  withSide(async (fixture, entry) => {
    fixture.engine.set({ responseBytes: 3_000 });
    entry.submit('a1', { isRepeatable: true });
    const drain = makeDomainChange({ state: 'drained', moveAfterMs: 2_000, version: 3 });
    entry.link.receive(drain);
    entry.link.receive(makeDomainChange({ state: 'active', version: 4 }));
    entry.link.receive(drain);
    await fixture.clock.tickAsync(1_900);
    entry.submit('a2');
    assert.is(entry.readReason('a2'), undefined);
    entry.link.receive(makeDomainChange({ state: 'drained', moveAfterMs: 2_000, version: 5 }));
    await fixture.clock.tickAsync(1_900);
    assert.equal(fixture.engine.cancelled, []);
  }));

test('a drain received from one entry also refuses the work of an entry that has not seen it', () =>
  withSide(async (fixture, entry) => {
    const other = new TestEntry('entry-2');
    other.connect(fixture.node);
    other.link.receive(makeDomainChange({ state: 'drained' }));
    entry.submit('a1');
    entry.inquire('a1');
    assert.is(entry.readReason('a1'), RefusalReason.DomainDrained);
    assert.is(entry.list(MessageType.InquiryAnswer)[0]?.state, AttemptState.Dead);
    const reports = entry.list(MessageType.Report);
    assert.is(reports[reports.length - 1]?.report.isDrained, true);
  }));

test.run();
