/**
 * A part of some prompts crashes each engine that begins an answer on it. Requests with that part
 * kept reaching engines, one after the other, and a group was hardly ever complete.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { CrashingFleet } from './crashingFleet.js';
import { withClock } from './directFixture.js';
import { BOUNDS } from './sampleBounds.js';

/** Crash after which the number of further requests with the part is limited. */
const CRASH_LIMIT = 5;

/** Requests with the part that may reach engines later than `contactMs` after that crash. */
const REQUESTS_AFTER_LIMIT = 3;

const SOUND_PER_S = 30;
const DEADLY_PER_S = 2;

const SOUND = {
  perS: SOUND_PER_S,
  choose: (random: { nextInt: (limit: number) => number }) => [`part-${random.nextInt(20)}`],
};
const DEADLY = { perS: DEADLY_PER_S, choose: () => ['part-0', 'deadly'] };

[true, false].forEach((isGroup) => {
  const engines = isGroup ? 'the ranks of a group' : 'independent engines';

  test(`requests with a prompt part that crashes ${engines} stop reaching them`, () =>
    withClock(async (clock) => {
      const deadlyParts = new Set(['deadly']);
      const fleet = new CrashingFleet(clock, {
        entryCount: 3,
        engineCount: 12,
        isGroup,
        deadlyParts,
      });
      await fleet.run(4_000, [SOUND]);
      await fleet.run(30_000, [SOUND, DEADLY]);
      fleet.stop();
      const limitAtMs = fleet.crashesAtMs[CRASH_LIMIT - 1] ?? Number.POSITIVE_INFINITY;
      const after = fleet.countDeadlyAfter(limitAtMs + BOUNDS.contactMs);
      assert.ok(after <= REQUESTS_AFTER_LIMIT, `${after} more requests with the part were sent`);
    }));
});

test('callers of sound requests are served while requests arrive that crash engines', () =>
  withClock(async (clock) => {
    const deadlyParts = new Set(['deadly']);
    const options = { entryCount: 3, engineCount: 12, isGroup: true, deadlyParts };
    const fleet = new CrashingFleet(clock, options);
    await fleet.run(4_000, [SOUND]);
    const startedAtMs = performance.now();
    await fleet.run(30_000, [SOUND, DEADLY]);
    const endedAtMs = performance.now();
    await fleet.run(4_000, [SOUND]);
    fleet.stop();
    const before = fleet.readServed(0, startedAtMs);
    const during = fleet.readServed(startedAtMs + 2 * BOUNDS.contactMs, endedAtMs);
    assert.ok(during >= before / 2, `${during} of them were served, ${before} before`);
  }));

test.run();
