/** Sums up the results of a run. */
import { CallVerdict, type CallResult } from './callResult.js';
import { LatencyHistogram, type LatencySummary } from './latencyHistogram.js';

/** Results of a run, of correct answers where it speaks of latency. */
export interface CallerSummary {
  readonly made: number;
  readonly verdicts: Readonly<Record<string, number>>;
  /** Refusals by `REASON/OUTCOME`. */
  readonly refusals: Readonly<Record<string, number>>;
  readonly firstByte: LatencySummary;
  readonly betweenTokens: LatencySummary;
  readonly whole: LatencySummary;
}

function increment(counts: Map<string, number>, name: string): void {
  counts.set(name, (counts.get(name) ?? 0) + 1);
}

/** Counts verdicts and records latencies. */
export class CallerReport {
  readonly #verdicts = new Map<string, number>();

  readonly #refusals = new Map<string, number>();

  readonly #firstByte = new LatencyHistogram();

  readonly #betweenTokens = new LatencyHistogram();

  readonly #whole = new LatencyHistogram();

  #made = 0;

  add(result: CallResult): void {
    this.#made += 1;
    increment(this.#verdicts, result.verdict);
    if (result.verdict === CallVerdict.Refused) {
      increment(this.#refusals, `${result.reason}/${result.outcome}`);
    }
    if (result.verdict !== CallVerdict.Correct) return;
    this.#firstByte.record(result.firstByteMs);
    this.#whole.record(result.wholeMs);
    result.gapsMs.forEach((gapMs) => this.#betweenTokens.record(gapMs));
  }

  /** Number of calls with a verdict. */
  count(verdict: CallVerdict): number {
    return this.#verdicts.get(verdict) ?? 0;
  }

  summarise(): CallerSummary {
    return {
      made: this.#made,
      verdicts: Object.fromEntries(this.#verdicts),
      refusals: Object.fromEntries(this.#refusals),
      firstByte: this.#firstByte.summarise(),
      betweenTokens: this.#betweenTokens.summarise(),
      whole: this.#whole.summarise(),
    };
  }
}
