import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { DEFAULT_TIMING } from '../../src/model/timing.js';

/** Time within which an accepted configuration must be in force. */
const BOUND_MS = 4_000;

test('work sent at the end of a lease and accepted at the tick limit is within the bound', () => {
  const { configLeaseMs, tickLimitMs } = DEFAULT_TIMING;
  assert.ok(configLeaseMs + tickLimitMs < BOUND_MS);
});

test('a submission is not refused as stale after two lost heartbeats', () => {
  const { heartbeatMs, tickLimitMs } = DEFAULT_TIMING;
  assert.ok(tickLimitMs >= 3 * heartbeatMs);
});

test.run();
