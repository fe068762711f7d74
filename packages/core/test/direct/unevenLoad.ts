/**
 * Load of requests of very unequal size, over several entries, on upstreams that are not equally
 * fast.
 */
import type { RequestSize } from '../../src/model/requestSize.js';
import type { Random } from '../../src/ports/random.js';

/** Spread of sizes, as the standard deviation of their logarithm, and of hints around them. */
const SIZE_SPREAD = 0.9;
const HINT_SPREAD = 0.5;

/** Largest size relative to the mean. */
const SIZE_MAX = 3;

/** Mean of the sizes without their upper limit, which makes the mean with it about 1. */
const UNBOUNDED_MEAN = 1.2;

const TOKENS_PER_EVENT = 4;

/** Work that a request requires of an engine. */
export interface Work {
  readonly promptTokens: number;
  readonly events: number;
}

export interface UnevenLoad {
  readonly entryCount: number;
  /** Whether all upstreams are ranks of one group; otherwise each has passes of its own. */
  readonly isLockStep: boolean;
  /** Time that slow upstreams take relative to others, by id. */
  readonly slowdowns: Readonly<Record<string, number>>;
  /** Whether each entry is told which upstreams are slow. */
  readonly areSlowdownsReported: boolean;
  /** Whether callers declare the sizes of their requests. */
  readonly isDeclared: boolean;
  readonly seed: number;
}

/** Draws from the standard normal distribution. */
export function drawNormal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  return radius * Math.cos(2 * Math.PI * random.next());
}

function drawSize(random: Random): number {
  const median = UNBOUNDED_MEAN * Math.exp(-(SIZE_SPREAD ** 2) / 2);
  return Math.min(SIZE_MAX, median * Math.exp(SIZE_SPREAD * drawNormal(random)));
}

/** Draws the work of a request; prompt and answer are drawn apart from each other. */
export function drawWork(random: Random, meanPromptTokens: number, meanEvents: number): Work {
  return {
    promptTokens: Math.ceil(meanPromptTokens * drawSize(random)),
    events: Math.max(1, Math.round(meanEvents * drawSize(random))),
  };
}

/** Declares the size of a request, with a hint that is right at the median. */
export function declareSize(random: Random, work: Work, meanEvents: number): RequestSize {
  const answerTokens = work.events * TOKENS_PER_EVENT;
  return {
    promptTokens: work.promptTokens,
    answerTokensMax: Math.ceil(SIZE_MAX * meanEvents * TOKENS_PER_EVENT),
    answerTokensHint: Math.ceil(answerTokens * Math.exp(HINT_SPREAD * drawNormal(random))),
  };
}
