/** Replays bursts of three priorities that share one pool through several linked entries. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { withClock } from '../directFixture.js';

import { FleetRun, type KindResult, type Rates } from './fleetRun.js';

const ENTRIES = 8;

/** Half of the load of the users' data sheet, for half of its engines. */
const USUAL: Rates = [32, 42, 14];

/** Bursts of the most and the least urgent kind coincide. */
const BURST: Rates = [58, 46, 34];

/** Returns the results by kind of bursts that alternate with the usual load. */
async function replayBursts(burst: Rates, usual: Rates): Promise<readonly KindResult[]> {
  let results: readonly KindResult[] = [];
  await withClock(async (clock) => {
    const run = new FleetRun(clock, ENTRIES);
    await run.run(usual, 4_000);
    const fromMs = performance.now();
    for (let round = 0; round < 3; round += 1) {
      // eslint-disable-next-line no-await-in-loop -- one burst after the other
      await run.run(burst, 2_500);
      // eslint-disable-next-line no-await-in-loop -- as above
      await run.run(usual, 2_500);
    }
    const toMs = performance.now();
    await run.run(usual, 5_000);
    results = run.readResults(fromMs, toMs);
    run.stop();
  });
  return results;
}

function describe(results: readonly KindResult[]): string {
  return results
    .map((each) =>
      [each.onTime, each.served, each.refusedFirst, each.refusedTwice]
        .map((share) => share.toFixed(2))
        .join('/'),
    )
    .join(' ');
}

// Guards against requests with a longer target being queued while more urgent ones are refused.
test('under bursts the share on time is in the order of urgency, and no kind starves', async () => {
  const results = await replayBursts(BURST, USUAL);
  const text = describe(results);
  const [first = 0, second = 0, third = 0] = results.map(({ onTime }) => onTime);
  assert.ok(first >= second, text);
  assert.ok(second >= third, text);
  const common = (first + second + third) / 3;
  assert.ok(third >= common / 4, text);
});

test.run();
