/** Metrics and log lines about the outcomes of requests by priority. */
import { LogLevel, type Log } from '../../ports/log.js';
import type { Metrics } from '../../ports/metrics.js';

const LOG_PART = 'admission';

/**
 * Time over which outcomes are compared, in milliseconds: the longest that an inversion may last.
 */
const WINDOW_MS = 1_000;

/** Fewest first attempts of a priority in a window for which its share is compared. */
const SAMPLES_MIN = 5;

/** Smallest difference between two shares that is reported; smaller ones can be noise. */
const TOLERANCE = 0.1;

/** Outcome of a caller's first attempt, judged by its first event or its complete response. */
export enum AttemptOutcome {
  OnTime = 'on-time',
  Late = 'late',
  Refused = 'refused',
}

export interface UrgencyTelemetryOptions {
  readonly pool: string;
  readonly metrics: Metrics;
  readonly log: Log;
}

interface Outcomes {
  onTime: number;
  total: number;
}

/** A priority, and the part of its first attempts that was on time. */
interface Share {
  readonly priority: number;
  readonly onTime: number;
}

/** Finds a priority whose share is smaller than that of a less urgent one. */
function findInversion(shares: readonly Share[]): readonly [Share, Share] | undefined {
  const pairs = shares.flatMap((each) => {
    const better = shares.find(
      ({ priority, onTime }) => priority > each.priority && onTime > each.onTime + TOLERANCE,
    );
    return better ? [[each, better] as const] : [];
  });
  return pairs[0];
}

/** Records the outcomes of one pool's first attempts in this entry. */
export class UrgencyTelemetry {
  readonly #options: UrgencyTelemetryOptions;

  readonly #outcomes = new Map<number, Outcomes>();

  #windowEndMs = 0;

  #isInverted = false;

  constructor(options: UrgencyTelemetryOptions) {
    this.#options = options;
  }

  noteWait(priority: number, waitedMs: number): void {
    const { pool, metrics } = this.#options;
    metrics.timing('priority.wait', waitedMs, { pool, priority: String(priority) });
  }

  noteOutcome(priority: number, outcome: AttemptOutcome, nowMs: number): void {
    const { pool, metrics } = this.#options;
    metrics.count('priority.attempts', { pool, priority: String(priority), outcome });
    if (nowMs >= this.#windowEndMs) this.#endWindow(nowMs);
    const outcomes = this.#outcomes.get(priority) ?? { onTime: 0, total: 0 };
    outcomes.total += 1;
    if (outcome === AttemptOutcome.OnTime) outcomes.onTime += 1;
    this.#outcomes.set(priority, outcomes);
  }

  #endWindow(nowMs: number): void {
    const shares = [...this.#outcomes]
      .filter(([, { total }]) => total >= SAMPLES_MIN)
      .map(([priority, { onTime, total }]) => ({ priority, onTime: onTime / total }));
    this.#outcomes.clear();
    this.#windowEndMs = nowMs + WINDOW_MS;
    this.#noteInversion(findInversion(shares));
  }

  #noteInversion(inversion: readonly [Share, Share] | undefined): void {
    const { pool, metrics, log } = this.#options;
    const wasInverted = this.#isInverted;
    this.#isInverted = inversion !== undefined;
    metrics.gauge('priority.inverted', this.#isInverted ? 1 : 0, { pool });
    if (!inversion) return;
    metrics.count('priority.inversion', { pool });
    if (wasInverted) return;
    const [worse, better] = inversion;
    log.write(LogLevel.Info, LOG_PART, 'Priorities are inverted.', {
      pool,
      priority: worse.priority,
      onTime: Math.round(worse.onTime * 100) / 100,
      lessUrgent: better.priority,
      lessUrgentOnTime: Math.round(better.onTime * 100) / 100,
    });
  }
}
