/** Workspace limits over several entries: shares follow demand, and the total limit is kept. */
import { install } from '@sinonjs/fake-timers';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { Random } from '../../src/ports/random.js';

import { BURST, LIMIT_PER_SECOND, SharesFixture } from './sharesFixture.js';

const STEP_MS = 10;
const IDLE_MS = 20_000;
const SEEDS = [1, 2, 3, 4, 5];

function sharesTest(name: string, body: (clock: ReturnType<typeof install>) => void): void {
  test(name, () => {
    const clock = install({ now: 0, toFake: ['Date'] });
    try {
      body(clock);
    } finally {
      clock.uninstall();
    }
  });
}

/** Runs steps of 10 ms; each may send requests, and all messages are delivered after it. */
function run(
  clock: ReturnType<typeof install>,
  fixture: SharesFixture,
  steps: number,
  body: (step: number) => void,
  isLost?: () => boolean,
): void {
  Array.from({ length: steps }, (_, step) => step).forEach((step) => {
    body(step);
    fixture.deliver(isLost);
    clock.tick(STEP_MS);
  });
}

/** Largest excess of the requests admitted in any window over what a single bucket admits. */
function findExcess(admittedAtMs: readonly number[]): number {
  const excesses = admittedAtMs.flatMap((firstMs, first) =>
    admittedAtMs.slice(first).map((lastMs, more) => {
      const allowed = BURST + ((lastMs - firstMs) * LIMIT_PER_SECOND) / 1_000;
      return more + 1 - allowed;
    }),
  );
  return Math.max(...excesses);
}

sharesTest('an entry with all the demand gets the tokens that the others do not use', (clock) => {
  const fixture = new SharesFixture(3);
  run(clock, fixture, 1_000, (step) => {
    if (step % 4 === 0) fixture.request(0);
  });
  assert.ok(fixture.admittedAtMs.length >= 240, `${fixture.admittedAtMs.length} of 250`);
});

SEEDS.forEach((seed) => {
  sharesTest(`no window admits more than a single bucket would, seed ${seed}`, (clock) => {
    const random = new Random(seed);
    const fixture = new SharesFixture(3);
    const body = (step: number) => {
      const favourite = Math.floor(step / 100) % 3;
      const entry = random.next() < 0.8 ? favourite : random.nextInt(3);
      if (random.next() < 0.7) fixture.request(entry);
    };
    [0, 1, 2].forEach((entry) => fixture.request(entry));
    clock.tick(IDLE_MS);
    run(clock, fixture, 1_000, body, () => random.next() < 0.2);
    assert.ok(fixture.deliveredCount > 20 && findExcess(fixture.admittedAtMs) <= 1e-6);
  });
});

sharesTest('a lender keeps the tokens that its own demand needs', (clock) => {
  const fixture = new SharesFixture(2);
  let refused = 0;
  run(clock, fixture, 500, (step) => {
    fixture.request(0);
    if (step % 10 === 0 && !fixture.request(1)) refused += 1;
  });
  assert.is(refused, 0);
});

sharesTest('partitioned entries keep to their equal shares', (clock) => {
  const fixture = new SharesFixture(3);
  fixture.cutAll();
  run(clock, fixture, 1_000, () => [0, 1, 2].forEach((entry) => fixture.request(entry)));
  assert.ok(findExcess(fixture.admittedAtMs) <= 1e-6);
});

sharesTest('a message about an unknown workspace changes nothing', () => {
  const fixture = new SharesFixture(2);
  Array.from({ length: BURST }, () => fixture.request(0, 'unknown'));
  fixture.deliver();
  assert.equal([fixture.deliveredCount, fixture.entries[1]?.shares.size], [1, 0]);
});

sharesTest('only workspaces with recent requests have a bucket', (clock) => {
  const fixture = new SharesFixture(3);
  Array.from({ length: 35_000 }, (_, index) => index).forEach((index) => {
    fixture.request(0, `workspace-${index}`);
    clock.tick(STEP_MS);
  });
  assert.ok((fixture.entries[0]?.shares.size ?? 0) <= 1_024);
});

test.run();
