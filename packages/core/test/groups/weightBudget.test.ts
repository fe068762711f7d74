import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import {
  LoadPurpose,
  WeightBudget,
  computeGrantBytesLeft,
  type BandwidthRequest,
} from '../../src/groups/weightBudget.js';

const OPTIONS = {
  bytesPerSecond: 1000,
  maxGrantBytesPerSecond: 600,
  minGrantBytesPerSecond: 50,
  termMs: 2000,
};

const SEED = 8;

function makeRequest(id: string, purpose: LoadPurpose, bytes = 1e6): BandwidthRequest {
  return { id, purpose, bytes };
}

test('cold starts are granted bandwidth before ordered loads, and rebalancing comes last', () => {
  const budget = new WeightBudget(OPTIONS, 0);
  const requests = [
    makeRequest('group', LoadPurpose.Rebalance),
    makeRequest('model', LoadPurpose.ModelLoad),
    makeRequest('cold', LoadPurpose.ColdStart),
  ];
  const grants = budget.grant(requests, 2000);
  const rates = grants.map((grant) => [grant.id, grant.bytesPerSecond]);
  assert.equal(rates, [
    ['cold', 600],
    ['model', 400],
  ]);
});

test('bandwidth that one purpose does not need goes to the next one', () => {
  const budget = new WeightBudget(OPTIONS, 0);
  const requests = [
    makeRequest('group', LoadPurpose.Rebalance),
    makeRequest('cold', LoadPurpose.ColdStart, 400),
  ];
  const rates = budget.grant(requests, 2000).map((grant) => grant.bytesPerSecond);
  assert.equal(rates, [200, 600]);
});

test('grants in use never exceed the bandwidth, even across a change of the lease holder', () => {
  const timedRequest = fc.record({
    atMs: fc.nat(20_000),
    purpose: fc.constantFrom(...Object.values(LoadPurpose)),
    bytes: fc.integer({ min: 1, max: 5000 }),
  });
  const property = fc.property(
    fc.array(timedRequest, { maxLength: 60 }),
    fc.nat(20_000),
    (timedRequests, changeAtMs) => {
      const holders = [
        new WeightBudget(OPTIONS, -OPTIONS.termMs),
        new WeightBudget(OPTIONS, changeAtMs),
      ];
      const sorted = [...timedRequests].sort((first, second) => first.atMs - second.atMs);
      const grants = sorted.flatMap(({ atMs, purpose, bytes }, index) => {
        const holder = holders[atMs < changeAtMs ? 0 : 1];
        const made = holder?.grant([makeRequest(`${index}`, purpose, bytes)], atMs) ?? [];
        return made.map((grant) => ({
          atMs,
          rate: grant.bytesPerSecond,
          endMs: atMs + grant.validMs,
        }));
      });
      grants.forEach(({ atMs }) => {
        const inUse = grants.filter((grant) => grant.atMs <= atMs && grant.endMs > atMs);
        const rate = inUse.reduce((sum, grant) => sum + grant.rate, 0);
        assert.ok(rate <= OPTIONS.bytesPerSecond, `${rate} at ${atMs}`);
      });
    },
  );
  fc.assert(property, { seed: SEED, numRuns: 300 });
});

test('a new lease holder grants nothing for one term', () => {
  const budget = new WeightBudget(OPTIONS, 0);
  assert.equal(budget.grant([makeRequest('cold', LoadPurpose.ColdStart)], 1999), []);
});

test('a delayed grant allows fewer bytes, and none after its term', () => {
  const grant = { id: 'cold', bytesPerSecond: 600, validMs: 2000 };
  assert.is(computeGrantBytesLeft(grant, 1000, 2000), 600);
  assert.is(computeGrantBytesLeft(grant, 1000, 3000), 0);
});

test.run();
