/**
 * Recent samples of how often each expert is chosen.
 *
 * A pass lasts as long as its most loaded rank, and most of its tokens come from the few prompts
 * that it prefills. A mean over a long time hides which experts a single prompt uses together. The
 * counts of one rank over a short time are about as mixed as those of one pass over all ranks.
 *
 * A choice is the routing of one token to one expert in one layer.
 */
import type { RankCounts } from './rankCaller.js';

/** Maximum number of samples that are kept; older demand says little after a shift. */
const SAMPLES_MAX = 36;

/** Age from which a sample is outdated: a slow change of demand is not detected as a shift. */
const SAMPLE_MAX_AGE_MS = 5_000;

/** Number of latest samples used whatever their age, for example after a group was down. */
const SAMPLES_MIN = 4;

/** Minimum number of choices in a sample: fewer, about one prompt's, are only noise. */
const CHOICES_MIN = 2_000;

/**
 * Cosine similarity below which two samples stem from different demand. Under load hardly any two
 * samples are near this limit: those before and after a shift have 0.27 to 0.75, and most samples
 * of the same demand have 0.85 or more.
 */
const SIMILARITY_MIN = 0.8;

/** Fraction of the mean sample size below which a sample is too small to detect a shift. */
const SMALL_SAMPLE_FRACTION = 0.25;

/** Maximum time between two readings of a rank that form a sample. */
const READING_GAP_MAX_MS = 2_500;

interface Reading {
  readonly counts: RankCounts;
  readonly atMs: number;
}

interface Sample {
  /** Choices of each expert between two readings, by layer and expert. */
  readonly choices: Float64Array;
  readonly atMs: number;
}

function sum(choices: Float64Array): number {
  return choices.reduce((total, count) => total + count, 0);
}

/** Computes the cosine similarity: 1 if both samples have the same proportions. */
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
   * Adds a reading of a rank, which forms a sample with the rank's previous reading.
   *
   * @returns whether demand has shifted; dissimilar earlier samples are dropped then
   */
  addReading(rank: string, counts: RankCounts, nowMs: number): boolean {
    const previous = this.#lastReadings.get(rank);
    if (
      !previous ||
      previous.counts.epoch !== counts.epoch ||
      nowMs - previous.atMs >= READING_GAP_MAX_MS
    ) {
      this.#lastReadings.set(rank, { counts, atMs: nowMs });
      return false;
    }
    const choices = Float64Array.from(
      counts.counts.map((count, at) => count - (previous.counts.counts[at] ?? 0)),
    );
    const isRestarted = choices.some((count) => count < 0);
    const total = sum(choices);
    // Too few choices for a sample yet. Without any, the next sample may as well begin now.
    if (total !== 0 && !isRestarted && total < CHOICES_MIN) return false;
    this.#lastReadings.set(rank, { counts, atMs: nowMs });
    if (total === 0) return false;
    return !isRestarted && this.#addSample({ choices, atMs: nowMs });
  }

  /** Adds a sample and drops dissimilar ones; @returns whether any were dropped. */
  #addSample(sample: Sample): boolean {
    const countBefore = this.#samples.length;
    const isSmall = sum(sample.choices) < this.#computeMeanChoices() * SMALL_SAMPLE_FRACTION;
    if (!isSmall) {
      this.#samples = this.#samples.filter(
        ({ choices }) => computeSimilarity(choices, sample.choices) >= SIMILARITY_MIN,
      );
    }
    const hasShifted = this.#samples.length < countBefore;
    this.#samples.push(sample);
    return hasShifted;
  }

  #computeMeanChoices(): number {
    const total = this.#samples.reduce((choices, sample) => choices + sum(sample.choices), 0);
    return total / Math.max(1, this.#samples.length);
  }

  /** Number of samples that are not outdated. */
  countRecent(nowMs: number): number {
    return this.#samples.filter(({ atMs }) => nowMs - atMs < SAMPLE_MAX_AGE_MS).length;
  }

  /** Recent samples, or else the latest ones of any age; each by layer and expert. */
  listSamples(nowMs: number): readonly Float64Array[] {
    const recent = this.#samples.filter(({ atMs }) => nowMs - atMs < SAMPLE_MAX_AGE_MS);
    this.#samples = (recent.length >= SAMPLES_MIN ? recent : this.#samples).slice(-SAMPLES_MAX);
    const selected = recent.length >= SAMPLES_MIN ? recent : this.#samples.slice(-SAMPLES_MIN);
    return selected.map(({ choices }) => choices);
  }
}
