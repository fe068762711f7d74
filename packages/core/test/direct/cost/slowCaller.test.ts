import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { DirectFixture, withClock } from '../directFixture.js';
import { DEFAULT_COSTS } from '../groupModel.js';

const PASS_MS = 80;

/** Sends streams to each upstream, and lets those at one of them be read by slow callers. */
test('a caller that reads slowly does not make its upstream count as slow', () =>
  withClock(async (clock) => {
    const entry = new DirectFixture(1, DEFAULT_COSTS);
    entry.addUpstreams('models', 4);
    // Few prompts are read at a time, so each stream begins before the next one is sent.
    const callers = Array.from({ length: 4 }, () => {
      const caller = entry.sendRequest('stream');
      entry.lastCall.head().sendEvents(1);
      return caller;
    });
    const { calls } = entry;
    for (let event = 2; event <= 40; event += 1) {
      calls.forEach((call, at) => {
        const isSlow = at === 0;
        Object.assign(callers[at] ?? {}, { isSlow });
        if (!isSlow || event % 3 === 1) call.sendEvents(event);
      });
      // eslint-disable-next-line no-await-in-loop -- one pass after the other
      await clock.tickAsync(PASS_MS);
      callers[0]?.drain();
    }
    const nowMs = performance.now();
    const slowdowns = calls.map(({ call: { upstream } }) =>
      entry.board.findUpstream(upstream.id)?.readSlowdown(nowMs),
    );
    assert.equal(slowdowns, [1, 1, 1, 1]);
  }));

test.run();
