/** Samples of expert demand, and the detection of shifts in it. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { DemandSamples } from '../../../src/direct/experts/demandSamples.js';
import { Random } from '../../../src/ports/random.js';

const EXPERTS = 64;

const READ_INTERVAL_MS = 600;

/** Choices of a rank between two readings, by some prompts that each prefer other experts. */
const CHOICES = 40_000;

/** A rank whose requests choose a range of hot experts more often than the others. */
class SimulatedRank {
  readonly #random = new Random(3);

  readonly #counts = new Array<number>(EXPERTS).fill(0);

  #firstHotExpert = 0;

  /** Moves the hot range to other experts. */
  shift(): void {
    this.#firstHotExpert += 16;
  }

  /** Serves some prompts; @returns the counts after that. */
  serve(choices = CHOICES) {
    for (let prompt = 0; prompt < 8; prompt += 1) {
      for (let at = 0; at < EXPERTS; at += 1) {
        const distance = (at - this.#firstHotExpert + EXPERTS) % EXPERTS;
        const weight = (distance < 16 ? 6 : 1) * (0.6 + 0.8 * this.#random.next());
        this.#counts[at] = (this.#counts[at] ?? 0) + Math.round((weight * choices) / 1_000);
      }
    }
    return { epoch: 1, step: 1, counts: [...this.#counts] };
  }
}

test('samples of the same demand are kept although their prompts differ', () => {
  const rank = new SimulatedRank();
  const samples = new DemandSamples();
  const shifts = Array.from({ length: 9 }, (_, at) =>
    samples.addReading('r', rank.serve(), at * READ_INTERVAL_MS),
  );
  assert.not.ok(shifts.includes(true));
  assert.is(samples.listSamples(8 * READ_INTERVAL_MS).length, 8);
});

test('the first sample after a shift in demand reveals it, and earlier samples are dropped', () => {
  const rank = new SimulatedRank();
  const samples = new DemandSamples();
  for (let at = 0; at < 6; at += 1) samples.addReading('r', rank.serve(), at * READ_INTERVAL_MS);
  rank.shift();
  assert.ok(samples.addReading('r', rank.serve(), 6 * READ_INTERVAL_MS));
  assert.is(samples.listSamples(6 * READ_INTERVAL_MS).length, 1);
  assert.not.ok(samples.addReading('r', rank.serve(), 7 * READ_INTERVAL_MS));
  assert.is(samples.listSamples(7 * READ_INTERVAL_MS).length, 2);
});

test('a sample of very few prompts does not indicate a shift', () => {
  const rank = new SimulatedRank();
  const samples = new DemandSamples();
  for (let at = 0; at < 6; at += 1) samples.addReading('r', rank.serve(), at * READ_INTERVAL_MS);
  rank.shift();
  assert.not.ok(samples.addReading('r', rank.serve(CHOICES / 8), 6 * READ_INTERVAL_MS));
  assert.is(samples.countRecent(6 * READ_INTERVAL_MS), 6);
});

test('the first reading after an idle time forms a sample', () => {
  const rank = new SimulatedRank();
  const samples = new DemandSamples();
  const idle = rank.serve();
  samples.addReading('r', idle, 0);
  samples.addReading('r', idle, 2_200);
  samples.addReading('r', rank.serve(), 2_800);
  assert.is(samples.listSamples(2_800).length, 1);
});

test('counts of another epoch, or after a long pause, form no sample', () => {
  const rank = new SimulatedRank();
  const samples = new DemandSamples();
  samples.addReading('r', rank.serve(), 0);
  samples.addReading('r', { ...rank.serve(), epoch: 2 }, READ_INTERVAL_MS);
  samples.addReading('r', { ...rank.serve(), epoch: 2 }, READ_INTERVAL_MS + 3_000);
  assert.is(samples.listSamples(READ_INTERVAL_MS + 3_000).length, 0);
  samples.addReading('r', { ...rank.serve(), epoch: 2 }, READ_INTERVAL_MS + 3_600);
  assert.is(samples.listSamples(READ_INTERVAL_MS + 3_600).length, 1);
});

test.run();
