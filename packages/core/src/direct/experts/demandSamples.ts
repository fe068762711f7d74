/**
 * Recent samples of which experts are chosen together.
 *
 * A pass lasts as long as its most loaded rank, and most of its tokens come from the few prompts
 * that it reads. The mean over a long time hides which experts one prompt chooses; the counts of
 * one rank over a short time are about as mixed as those of one pass over all ranks.
 */
import type { RankCounts } from './rankCaller.js';

/** Samples that are kept; older demand says little after a shift. */
const SAMPLES_MAX = 36;

/** Age from which a sample says little: what has changed slowly is not noticed as a shift. */
const SAMPLE_MAX_AGE_MS = 5_000;

/** Samples of any age that are better than none, as after a time in which a group was down. */
const SAMPLES_MIN = 4;

/** Choices below which a sample is only noise: about one prompt's. */
const CHOICES_MIN = 2_000;

/**
 * Likeness below which two samples are of different demand. On a loaded bench day hardly any two
 * lie near it: shifts leave 0.27 to 0.75, most samples of one demand have 0.85 and more.
 */
const SIMILARITY_MIN = 0.8;

/** Part of the mean choices below which a sample is too thin to tell a shift. */
const SMALL_SAMPLE_FRACTION = 0.25;

/** Longest time between two readings of a rank that make a sample. */
const SPAN_MAX_MS = 2_500;

interface Reading {
  readonly counts: RankCounts;
  readonly atMs: number;
}

interface Sample {
  readonly choices: Float64Array;
  readonly atMs: number;
}

function sum(choices: Float64Array): number {
  return choices.reduce((total, count) => total + count, 0);
}

/** Cosine of the angle between two samples: 1 where they choose in the same proportions. */
function computeSimilarity(one: Float64Array, other: Float64Array): number {
  let product = 0;
  let oneSquares = 0;
  let otherSquares = 0;
  for (let at = 0; at < one.length; at += 1) {
    const a = one[at] ?? 0;
    const b = other[at] ?? 0;
    product += a * b;
    oneSquares += a * a;
    otherSquares += b * b;
  }
  return product / Math.sqrt(oneSquares * otherSquares);
}

/** Samples of one group. */
export class DemandSamples {
  readonly #lastReadings = new Map<string, Reading>();

  #samples: Sample[] = [];

  /**
   * Takes in one reading of a rank.
   *
   * @returns whether demand has shifted; samples of before are forgotten then
   */
  addReading(rank: string, counts: RankCounts, nowMs: number): boolean {
    const previous = this.#lastReadings.get(rank);
    if (
      !previous ||
      previous.counts.epoch !== counts.epoch ||
      nowMs - previous.atMs >= SPAN_MAX_MS
    ) {
      this.#lastReadings.set(rank, { counts, atMs: nowMs });
      return false;
    }
    const choices = Float64Array.from(
      counts.counts.map((count, at) => count - (previous.counts.counts[at] ?? 0)),
    );
    const isRestarted = choices.some((count) => count < 0);
    const total = sum(choices);
    // Nothing was chosen meanwhile, so a sample may as well begin now.
    if (total !== 0 && !isRestarted && total < CHOICES_MIN) return false;
    this.#lastReadings.set(rank, { counts, atMs: nowMs });
    if (total === 0) return false;
    return !isRestarted && this.#addSample({ choices, atMs: nowMs });
  }

  /** Keeps a sample, and of the others those that are like it. */
  #addSample(sample: Sample): boolean {
    const countBefore = this.#samples.length;
    const isSmall = sum(sample.choices) < this.#computeMeanChoices() * SMALL_SAMPLE_FRACTION;
    if (!isSmall) {
      this.#samples = this.#samples.filter(
        ({ choices }) => computeSimilarity(choices, sample.choices) >= SIMILARITY_MIN,
      );
    }
    const isShift = this.#samples.length < countBefore;
    this.#samples.push(sample);
    return isShift;
  }

  #computeMeanChoices(): number {
    const total = this.#samples.reduce((choices, sample) => choices + sum(sample.choices), 0);
    return total / Math.max(1, this.#samples.length);
  }

  /** Samples that are recent. */
  countRecent(nowMs: number): number {
    return this.#samples.filter(({ atMs }) => nowMs - atMs < SAMPLE_MAX_AGE_MS).length;
  }

  /** Recent samples, or the last ones that there were; each by layer and expert. */
  listSamples(nowMs: number): readonly Float64Array[] {
    const recent = this.#samples.filter(({ atMs }) => nowMs - atMs < SAMPLE_MAX_AGE_MS);
    this.#samples = (recent.length >= SAMPLES_MIN ? recent : this.#samples).slice(-SAMPLES_MAX);
    const selected = recent.length >= SAMPLES_MIN ? recent : this.#samples.slice(-SAMPLES_MIN);
    return selected.map(({ choices }) => choices);
  }
}
