/** A side process went on calling an engine that had named a request limit. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { MessageType } from '../../src/messages/message.js';
import { RefusalReason } from '../../src/model/reason.js';

import { withSide, type SideFixture } from './sideFixture.js';
import { TestEntry } from './testEntry.js';

const SUBMIT_INTERVAL_MS = 50;

const WINDOW_MS = 4_000;

const CAPACITY_REASONS: ReadonlySet<RefusalReason> = new Set([
  RefusalReason.UpstreamFull,
  RefusalReason.UpstreamCold,
]);

let lastId = 0;

/** Submits attempts for a time, from two entries in turn; @returns the number that ran. */
async function submitFor(
  { clock, engine }: SideFixture,
  entries: readonly TestEntry[],
  spanMs: number,
): Promise<number> {
  const before = engine.executions.size;
  for (let atMs = 0; atMs < spanMs; atMs += SUBMIT_INTERVAL_MS) {
    lastId += 1;
    entries[lastId % entries.length]?.submit(`limited-${lastId}`);
    // eslint-disable-next-line no-await-in-loop -- the attempts are spread over time
    await clock.tickAsync(SUBMIT_INTERVAL_MS);
  }
  return engine.executions.size - before;
}

function connectOther({ node }: SideFixture): TestEntry {
  const other = new TestEntry('entry-2');
  other.connect(node);
  return other;
}

[true, false].forEach((isPlain) => {
  const kind = isPlain ? 'plain service' : 'model engine';

  test(`attempts of all entries keep the request limit of a ${kind}`, () =>
    withSide(
      async (fixture, entry) => {
        const entries = [entry, connectOther(fixture)];
        fixture.engine.set({ requestLimitPerS: 2 });
        await submitFor(fixture, entries, 1_000);
        const count = await submitFor(fixture, entries, WINDOW_MS);
        assert.ok(count >= 6 && count <= 9, `${count} attempts ran in ${WINDOW_MS} ms`);
        const refusals = entries.flatMap((each) => each.list(MessageType.Refused));
        assert.ok(refusals.every(({ reason }) => CAPACITY_REASONS.has(reason)));
        assert.ok(refusals.every(({ retryAfterMs }) => retryAfterMs > 0));
      },
      { isPlain },
    ));
});

test('an engine is used in full again when its request limit ends', () =>
  withSide(async (fixture, entry) => {
    fixture.engine.set({ requestLimitPerS: 2 });
    await submitFor(fixture, [entry], 2_000);
    fixture.engine.set({ requestLimitPerS: undefined });
    await submitFor(fixture, [entry], 2_000);
    const count = await submitFor(fixture, [entry], WINDOW_MS);
    assert.ok(count >= 40, `${count} attempts ran in ${WINDOW_MS} ms`);
  }));

test('an engine that takes no requests is tried once in ten seconds', () =>
  withSide(async (fixture, entry) => {
    fixture.engine.set({ requestLimitPerS: 0 });
    await submitFor(fixture, [entry], 1_000);
    const count = await submitFor(fixture, [entry], 20_000);
    assert.ok(count >= 1 && count <= 3, `${count} attempts ran in 20 s`);
  }));

test.run();
