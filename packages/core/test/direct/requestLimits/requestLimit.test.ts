/**
 * Upstreams name the requests per second that they take from all entries together. Entries went on
 * sending at their usual rate.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { Ok } from '../../../src/outcome.js';
import { withClock } from '../directFixture.js';
import { BOUNDS } from '../sampleBounds.js';

import { LimitedFleet, computeAllowed, type LimitedFleetOptions } from './limitedFleet.js';

const LIMITED_SPAN_MS = 20_000;

interface Load extends LimitedFleetOptions {
  readonly name: string;
  /** Requests per second from all callers. */
  readonly perS: number;
  /** Number of upstreams with a limit, and what they take per second. */
  readonly limitedCount: number;
  readonly limitPerS: number;
}

const LOADS: readonly Load[] = [
  {
    name: 'one engine of twelve',
    entryCount: 3,
    upstreamCount: 12,
    perS: 45,
    limitedCount: 1,
    limitPerS: 1.5,
  },
  {
    name: 'most engines',
    entryCount: 4,
    upstreamCount: 12,
    perS: 45,
    limitedCount: 9,
    limitPerS: 1.5,
  },
  {
    name: 'all plain services',
    entryCount: 3,
    upstreamCount: 3,
    pool: 'exchange',
    perS: 8,
    limitedCount: 3,
    limitPerS: 1.4,
  },
  {
    name: 'an upstream that 35 entries share',
    entryCount: 35,
    upstreamCount: 2,
    perS: 30,
    limitedCount: 1,
    limitPerS: 1,
  },
];

LOADS.forEach(({ name, perS, limitedCount, limitPerS, ...options }) => {
  test(`entries together keep the request limit of ${name}`, () =>
    withClock(async (clock) => {
      const fleet = new LimitedFleet(clock, options);
      const limited = new Set(
        Array.from({ length: limitedCount }, (_, at) => `${fleet.pool}-${at}`),
      );
      await fleet.run(4_000, perS);
      fleet.naming = (upstream) => Ok(limited.has(upstream) ? limitPerS : undefined);
      const namedAtMs = performance.now();
      await fleet.run(LIMITED_SPAN_MS, perS);
      fleet.stop();
      const peaks = [...limited].map((id) => fleet.readPeak(id, namedAtMs + BOUNDS.contactMs));
      const allowed = computeAllowed(limitPerS);
      assert.ok(
        peaks.every((peak) => peak <= allowed),
        `${allowed} arrivals are allowed in 4 s, the most at each upstream: ${peaks.join(', ')}`,
      );
    }));
});

test.run();
