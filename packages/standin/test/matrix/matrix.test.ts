/** A bounded part of the fault matrix: `npm run matrix` runs all of it. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { MatrixRun } from '../../src/matrix/matrixRun.js';
import { SCENARIOS } from '../../src/matrix/scenarios.js';

const SEED = 7;
const SINGLES = 14;
const PAIRS = 4;

SCENARIOS.forEach((scenario) => {
  test(`no sampled fault violates an invariant in ${scenario.name}`, async () => {
    const run = new MatrixRun(scenario, { seed: SEED, pairCount: PAIRS, singleLimit: SINGLES });
    const { rows, violations } = await run.run();
    const cells = rows.reduce((sum, row) => sum + row.cells, 0);
    assert.ok(cells > PAIRS, `only ${cells} cells met their events`);
    assert.equal(
      violations.flatMap(({ replay, sentences }) => [replay, ...sentences]),
      [],
    );
  });
});

test.run();
