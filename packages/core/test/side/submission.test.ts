import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { ConfigKind, formatConfigKey } from '../../src/config/object.js';
import { AttemptState, MessageType } from '../../src/messages/message.js';
import { RefusalReason } from '../../src/model/reason.js';
import { DEFAULT_TIMING } from '../../src/model/timing.js';

import { assertResponse } from './fakeEngine.js';
import { makeDomainChange, withSide, type SideFixture } from './sideFixture.js';
import { TestEntry, type SubmitChanges } from './testEntry.js';

/** One more than the number of dead ids that a side process remembers. */
const EXCESS_DEAD_IDS = 20_001;

interface RefusalCase {
  readonly reason: RefusalReason;
  readonly prepare?: (fixture: SideFixture, entry: TestEntry) => unknown;
  readonly changes?: SubmitChanges;
}

const REFUSALS: readonly RefusalCase[] = [
  { reason: RefusalReason.StaleIncarnation, changes: { sideIncarnation: 's0' } },
  {
    reason: RefusalReason.StaleSubmission,
    prepare: async ({ clock }) => clock.tickAsync(DEFAULT_TIMING.tickLimitMs),
    changes: { echoTickMs: 1 },
  },
  { reason: RefusalReason.StaleSubmission, changes: { echoTickMs: 1e12 } },
  { reason: RefusalReason.AttemptDead, prepare: (_, entry) => entry.inquire('a1') },
  {
    reason: RefusalReason.ShuttingDown,
    prepare: ({ node }) => {
      node.stop();
    },
  },
  { reason: RefusalReason.UpstreamLeaving, prepare: ({ node }) => node.markLeaving() },
  {
    reason: RefusalReason.DomainDrained,
    prepare: (_, entry) => entry.link.receive(makeDomainChange({ state: 'drained' })),
  },
  {
    reason: RefusalReason.UpstreamLeaving,
    prepare: ({ board }) => {
      const key = formatConfigKey(ConfigKind.Upstream, 'u1');
      const current = board.config.get(ConfigKind.Upstream, 'u1');
      board.config.apply([{ key, version: 9, value: { ...current, isStopped: true } }], 9, false);
    },
  },
  {
    reason: RefusalReason.UpstreamCold,
    prepare: (_, entry) => ['b1', 'b2'].forEach((id) => entry.submit(id)),
  },
];

test('an admitted attempt streams head, data in order and end', () =>
  withSide(async ({ clock }, entry) => {
    entry.submit('a1');
    await clock.tickAsync(500);
    assert.is(entry.listTypes('a1')[0], MessageType.Head);
    assertResponse(entry.readResponse('a1'), 'a1', 30);
    assert.is(entry.list(MessageType.End)[0]?.totalBytes, 30);
  }));

REFUSALS.forEach(({ reason, prepare, changes }, index) => {
  test(`a submission is refused as ${reason} and never runs (${index})`, () =>
    withSide(async (fixture, entry) => {
      await prepare?.(fixture, entry);
      entry.submit('a1', changes);
      await fixture.clock.tickAsync(500);
      assert.is(entry.readReason('a1'), reason);
      assert.not(fixture.engine.executions.has('a1'));
      assert.is(fixture.metrics.readCount(`side.refused{reason=${reason}}`), 1);
    }));
});

test('a duplicate submission is ignored, even after the tick limit', () =>
  withSide(async ({ clock, engine }, entry) => {
    const submit = entry.makeSubmit('a1');
    entry.link.receive(submit);
    entry.link.receive(submit);
    await clock.tickAsync(DEFAULT_TIMING.tickLimitMs + 1_000);
    entry.link.receive(submit);
    assert.is(engine.executions.get('a1'), 1);
    assert.is(entry.readReason('a1'), undefined);
  }));

test('a refused submission does not run when it is repeated after capacity is free', () =>
  withSide(async ({ clock, engine }, entry) => {
    entry.submit('b1');
    entry.submit('b2');
    const submit = entry.makeSubmit('a1');
    entry.link.receive(submit);
    await clock.tickAsync(500);
    entry.link.receive(submit);
    assert.not(engine.executions.has('a1'));
  }));

test('a dead id that was forgotten early is still refused', () =>
  withSide(async ({ clock, engine }, entry) => {
    const submit = entry.makeSubmit('a1');
    entry.inquire('a1');
    await clock.tickAsync(1);
    Array.from({ length: EXCESS_DEAD_IDS }, (_, index) => entry.inquire(`b${index}`));
    entry.link.receive(submit);
    assert.is(entry.readReason('a1'), RefusalReason.StaleSubmission);
    assert.not(engine.executions.has('a1'));
  }));

test('a forgotten attempt that ran is never reported as dead', () =>
  withSide(async ({ clock }, entry) => {
    entry.submit('a1');
    const { tickMs } = entry;
    await clock.tickAsync(DEFAULT_TIMING.attemptKeptMs + 2_000);
    entry.inquire('a1');
    entry.inquire('a1', 0, { submitTickMs: tickMs });
    entry.inquire('b1', 0, { submitTickMs: tickMs + 1 });
    const states = entry.list(MessageType.InquiryAnswer).map((answer) => answer.state);
    assert.equal(states, [AttemptState.Lost, AttemptState.Lost, AttemptState.Dead]);
  }));

test.run();
