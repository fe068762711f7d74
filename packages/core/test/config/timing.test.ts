import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { DEFAULT_TIMING } from '../../src/model/timing.js';

/** Time within which an accepted configuration must be in force. */
const BOUND_MS = 4_000;

test('configuration lease plus tick limit stays below the bound for new configuration', () => {
  const { configLeaseMs, tickLimitMs } = DEFAULT_TIMING;
  assert.ok(configLeaseMs + tickLimitMs < BOUND_MS);
});

test('the tick limit allows for two lost heartbeats', () => {
  const { heartbeatMs, tickLimitMs } = DEFAULT_TIMING;
  assert.ok(tickLimitMs >= 3 * heartbeatMs);
});

test.run();
