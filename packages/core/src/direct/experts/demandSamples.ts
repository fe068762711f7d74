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

/** Age from which a sample says little; demand shifts every few seconds at the worst. */
const SAMPLE_AGE_MS = 3_500;

/** Samples of any age that are better than none, as after a time in which a group was down. */
const SAMPLES_MIN = 4;

/** Choices below which a sample is only noise: about one prompt's. */
const CHOICES_MIN = 2_000;

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

/** Samples of one group. */
export class DemandSamples {
  readonly #last = new Map<string, Reading>();

  #samples: Sample[] = [];

  /** Takes in one reading of a rank. */
  add(rank: string, counts: RankCounts, nowMs: number): void {
    const before = this.#last.get(rank);
    if (before && before.counts.epoch === counts.epoch) {
      const choices = Float64Array.from(
        counts.counts.map((count, at) => count - (before.counts.counts[at] ?? 0)),
      );
      const total = choices.reduce((sum, count) => sum + count, 0);
      const isRestarted = choices.some((count) => count < 0);
      if (!isRestarted && total < CHOICES_MIN && nowMs - before.atMs < SPAN_MAX_MS) return;
      if (!isRestarted && total >= CHOICES_MIN && nowMs - before.atMs < SPAN_MAX_MS) {
        this.#samples.push({ choices, atMs: nowMs });
      }
    }
    this.#last.set(rank, { counts, atMs: nowMs });
  }

  /** Samples that are recent. */
  countRecent(nowMs: number): number {
    return this.#samples.filter(({ atMs }) => nowMs - atMs < SAMPLE_AGE_MS).length;
  }

  /** Recent samples, or the last ones that there were; each by layer and expert. */
  list(nowMs: number): readonly Float64Array[] {
    const recent = this.#samples.filter(({ atMs }) => nowMs - atMs < SAMPLE_AGE_MS);
    this.#samples = (recent.length >= SAMPLES_MIN ? recent : this.#samples).slice(-SAMPLES_MAX);
    const told = recent.length >= SAMPLES_MIN ? recent : this.#samples.slice(-SAMPLES_MIN);
    return told.map(({ choices }) => choices);
  }
}
