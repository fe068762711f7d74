/** Samples of demand: what a shift leaves of them. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { DemandSamples } from '../../../src/direct/experts/demandSamples.js';
import { Random } from '../../../src/ports/random.js';

const EXPERTS = 64;

const READ_MS = 600;

/** Choices of a rank between two readings: those of some prompts, each with experts of its own. */
const CHOICES = 40_000;

/** One rank whose requests choose some experts more often than others. */
class Rank {
  readonly #random = new Random(3);

  readonly #counts = new Array<number>(EXPERTS).fill(0);

  #favourites = 0;

  /** From now on other experts are asked for most. */
  shift(): void {
    this.#favourites += 16;
  }

  /** Works for a while; @returns the counts then. */
  work(choices = CHOICES) {
    for (let prompt = 0; prompt < 8; prompt += 1) {
      for (let at = 0; at < EXPERTS; at += 1) {
        const distance = (at - this.#favourites + EXPERTS) % EXPERTS;
        const weight = (distance < 16 ? 6 : 1) * (0.6 + 0.8 * this.#random.next());
        this.#counts[at] = (this.#counts[at] ?? 0) + Math.round((weight * choices) / 1_000);
      }
    }
    return { epoch: 1, step: 1, counts: [...this.#counts] };
  }
}

test('samples of one demand are kept, however their prompts differ', () => {
  const rank = new Rank();
  const samples = new DemandSamples();
  const shifts = Array.from({ length: 9 }, (_, at) =>
    samples.addReading('r', rank.work(), at * READ_MS),
  );
  assert.not.ok(shifts.includes(true));
  assert.is(samples.listSamples(8 * READ_MS).length, 8);
});

test('a shift of demand is told by the first sample of it, and what was before is dropped', () => {
  const rank = new Rank();
  const samples = new DemandSamples();
  for (let at = 0; at < 6; at += 1) samples.addReading('r', rank.work(), at * READ_MS);
  rank.shift();
  assert.ok(samples.addReading('r', rank.work(), 6 * READ_MS));
  assert.is(samples.listSamples(6 * READ_MS).length, 1);
  assert.not.ok(samples.addReading('r', rank.work(), 7 * READ_MS));
  assert.is(samples.listSamples(7 * READ_MS).length, 2);
});

test('a sample of hardly any prompts tells no shift', () => {
  const rank = new Rank();
  const samples = new DemandSamples();
  for (let at = 0; at < 6; at += 1) samples.addReading('r', rank.work(), at * READ_MS);
  rank.shift();
  assert.not.ok(samples.addReading('r', rank.work(CHOICES / 8), 6 * READ_MS));
  assert.is(samples.countRecent(6 * READ_MS), 6);
});

test('the first reading after a rest makes a sample', () => {
  const rank = new Rank();
  const samples = new DemandSamples();
  const idle = rank.work();
  samples.addReading('r', idle, 0);
  samples.addReading('r', idle, 2_200);
  samples.addReading('r', rank.work(), 2_800);
  assert.is(samples.listSamples(2_800).length, 1);
});

test('counts of another epoch, or after a long pause, make no sample', () => {
  const rank = new Rank();
  const samples = new DemandSamples();
  samples.addReading('r', rank.work(), 0);
  samples.addReading('r', { ...rank.work(), epoch: 2 }, READ_MS);
  samples.addReading('r', { ...rank.work(), epoch: 2 }, READ_MS + 3_000);
  assert.is(samples.listSamples(READ_MS + 3_000).length, 0);
  samples.addReading('r', { ...rank.work(), epoch: 2 }, READ_MS + 3_600);
  assert.is(samples.listSamples(READ_MS + 3_600).length, 1);
});

test.run();
