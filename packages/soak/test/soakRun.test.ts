/** Short runs of the soak, with real entries. */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';

import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { SoakRun } from '../src/soakRun.js';

/** Seeds whose plans cover signals, links, upstreams, the store and operators. */
const SEEDS = [5, 11];

const FAULTS_MS = 6_000;

const ENTRIES = 3;

SEEDS.forEach((seed) => {
  test(`all invariants hold under the faults of seed ${seed}`, async () => {
    const folder = await mkdtemp(path.join(tmpdir(), 'radishbay-soak-'));
    const run = new SoakRun({ seed, entryCount: ENTRIES, faultsMs: FAULTS_MS, folder });
    const verdict = await run.run();
    assert.equal(verdict.violations, [], `logs and plan are in ${folder}`);
    assert.ok((verdict.responseCounts.get(200) ?? 0) > 0);
    await rm(folder, { recursive: true });
  });
});

test.run();
