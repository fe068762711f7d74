import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { FaultKind } from '../src/plan/fault.js';
import { createPlan } from '../src/plan/faultPlan.js';

test('equal seeds give equal plans, different seeds different plans', () => {
  assert.equal(createPlan(7, 60_000), createPlan(7, 60_000));
  assert.not.equal(createPlan(7, 60_000), createPlan(8, 60_000));
});

test('ten plans together contain every kind of fault, and each has overlapping faults', () => {
  const plans = Array.from({ length: 10 }, (_, seed) => createPlan(seed + 1, 30_000));
  const kinds = new Set(plans.flat().map(({ kind }) => kind));
  assert.equal([...kinds].sort(), Object.values(FaultKind).sort());
  const isOverlapping = plans.every((plan) =>
    plan.some(({ atMs, forMs }, at) => (plan[at + 1]?.atMs ?? Infinity) < atMs + forMs),
  );
  assert.ok(isOverlapping);
  assert.ok(plans.flat().every(({ atMs }) => atMs < 30_000));
});

test.run();
