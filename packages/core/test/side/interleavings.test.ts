import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { assertResponse } from './fakeEngine.js';
import { InterleavingRunner, StepKind, type Step } from './interleavingRunner.js';
import { withSide } from './sideFixture.js';

const SEED = 20_261_204;
const RUNS = 200;

/** Time in which all attempts in flight end. */
const DRAIN_MS = 6_000;

/** Lag of the engine's reports, and the time in which a cold engine must be detected. */
const REPORT_LAG_MS = 300;
const COLD_DETECTION_MS = 700;

const RESPONSE_BYTES = 60;

/** Submissions and waits are more frequent than faults. */
const STEP_KINDS: readonly StepKind[] = [
  ...Array.from({ length: 6 }, () => StepKind.Submit),
  ...Array.from({ length: 6 }, () => StepKind.Wait),
  ...Array.from({ length: 4 }, () => StepKind.Repeat),
  ...Array.from({ length: 2 }, () => StepKind.Reconnect),
  ...Object.values(StepKind),
];

const STEP: fc.Arbitrary<Step> = fc.record({
  kind: fc.constantFrom(...STEP_KINDS),
  entry: fc.integer({ min: 0, max: 1 }),
  count: fc.integer({ min: 1, max: 6 }),
  isRepeatable: fc.boolean(),
  delayMs: fc.oneof(fc.integer({ min: 0, max: 300 }), fc.integer({ min: 300, max: 6_000 })),
});

test('random faults cause no overload, second run, run after a refusal or wrong response', () =>
  fc.assert(
    fc.asyncProperty(fc.array(STEP, { minLength: 5, maxLength: 40 }), (steps) =>
      withSide(async (fixture, entry) => {
        const { engine } = fixture;
        engine.set({ reportLagMs: REPORT_LAG_MS, responseBytes: RESPONSE_BYTES });
        const runner = new InterleavingRunner(fixture, entry);
        await runner.run(steps, DRAIN_MS);
        assert.equal(
          engine.overruns.filter((sinceColdMs) => sinceColdMs > COLD_DETECTION_MS),
          [],
        );
        assert.ok([...engine.executions.values()].every((count) => count === 1));
        runner.notRun.forEach((id) => assert.not(engine.executions.has(id), `${id} has run`));
        runner.responses.forEach((response, id) => assertResponse(response, id, RESPONSE_BYTES));
      }),
    ),
    { seed: SEED, numRuns: RUNS },
  ));

test.run();
