/** Runs tests under a fake clock and checks that they leave no request, permit or timer. */
import { install } from '@sinonjs/fake-timers';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { EntryFixture } from './entryFixture.js';

export type TestClock = ReturnType<typeof install>;

/** Checks that an entry has no request, attempt or permit left. */
export function checkIdle(entry: EntryFixture): void {
  assert.equal(entry.controller.listInFlight(), [], 'no request is left');
  assert.is(entry.controller.attemptCount, 0, 'no attempt is left');
  entry.board.upstreams.forEach((upstream) => assert.is(upstream.inFlight, 0));
  assert.is(entry.admission.countInFlight('drafting'), 0, 'no permit is left');
  assert.is(entry.admission.countWaiting('drafting'), 0, 'no request waits');
}

/** Declares a test of one entry under a fake clock. */
export function scenario(
  name: string,
  body: (entry: EntryFixture, clock: TestClock) => Promise<void>,
): void {
  test(name, async () => {
    const clock = install({ toNotFake: ['nextTick', 'queueMicrotask'] });
    try {
      const entry = new EntryFixture();
      await body(entry, clock);
      await clock.tickAsync(0);
      checkIdle(entry);
      assert.is(clock.countTimers(), 0, 'no timer is left');
    } finally {
      clock.uninstall();
    }
  });
}
