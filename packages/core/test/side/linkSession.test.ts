import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { AttemptState, MessageType } from '../../src/messages/message.js';
import { DEFAULT_TIMING } from '../../src/model/timing.js';

import { withSide } from './sideFixture.js';
import { TestEntry } from './testEntry.js';

test('a link with a wrong token is closed without a welcome', () =>
  withSide(async ({ node, metrics }) => {
    const stranger = new TestEntry('entry-2');
    stranger.connect(node, 'guess');
    assert.not(stranger.link.isOpen);
    assert.equal(stranger.link.sent, []);
    assert.is(metrics.readCount('side.link_rejected{cause=wrong-token}'), 1);
  }));

test('no message is accepted from a link before its Hello', () =>
  withSide(async ({ node, engine }, entry) => {
    const stranger = new TestEntry('entry-2');
    node.attach(stranger.link);
    stranger.link.receive(entry.makeSubmit('a1'));
    assert.not(stranger.link.isOpen);
    assert.is(engine.executions.size, 0);
  }));

test('a new link closes the older link of the same entry, whose late messages are ignored', () =>
  withSide(async ({ node, engine, clock }, entry) => {
    const submit = entry.makeSubmit('a1');
    const successor = new TestEntry(entry.name);
    successor.connect(node);
    assert.not(entry.link.isOpen);
    entry.link.receive(submit);
    successor.inquire('a1');
    await clock.tickAsync(200);
    assert.is(engine.executions.size, 0);
    assert.is(successor.list(MessageType.InquiryAnswer)[0]?.state, AttemptState.Dead);
  }));

test('a silent link is closed after the limit, and one that sends heartbeats stays open', () =>
  withSide(async ({ node, clock }, entry) => {
    const frozen = new TestEntry('entry-2');
    frozen.connect(node);
    frozen.freeze();
    await clock.tickAsync(DEFAULT_TIMING.silenceLimitMs + 2 * DEFAULT_TIMING.heartbeatMs);
    assert.not(frozen.link.isOpen);
    assert.ok(entry.link.isOpen);
  }));

test('a pause of the side process itself closes no link', () =>
  withSide(async ({ clock }, entry) => {
    entry.freeze();
    clock.jump(DEFAULT_TIMING.silenceLimitMs * 3);
    assert.ok(entry.link.isOpen);
  }));

test('entries are informed at once that the upstream is leaving', () =>
  withSide(async ({ node }, entry) => {
    node.markLeaving();
    const reports = entry.list(MessageType.Report);
    assert.is(reports[reports.length - 1]?.report.isLeaving, true);
  }));

test.run();
