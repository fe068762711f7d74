/**
 * Bounds the lines that a process writes in a second.
 *
 * Under load the lines of single requests are the first to go; warnings and errors have a part of
 * the budget for themselves. What was left out is said in a line of its own.
 */
import { Log, LogLevel, type LogFields } from '@radishbay/core/ports/log.js';

const PART = 'log';

const SECOND_MS = 1_000;

/** Lines of any kind in a second; each costs some tens of microseconds. */
const LINES_PER_S = 300;

/** Lines that are kept free for warnings and errors. */
const RESERVED_LINES_PER_S = 100;

const URGENT_LEVELS: ReadonlySet<LogLevel> = new Set([LogLevel.Warn, LogLevel.Error]);

/** A log with a budget. */
export class BoundedLog extends Log {
  readonly #log: Log;

  #secondAtMs = 0;

  #lines = 0;

  #left = 0;

  constructor(log: Log) {
    super();
    this.#log = log;
  }

  override write(level: LogLevel, part: string, sentence: string, fields?: LogFields): void {
    this.#turnSecond(performance.now());
    const limit = URGENT_LEVELS.has(level) ? LINES_PER_S : LINES_PER_S - RESERVED_LINES_PER_S;
    if (this.#lines >= limit) {
      this.#left += 1;
      return;
    }
    this.#lines += 1;
    this.#log.write(level, part, sentence, fields);
  }

  #turnSecond(nowMs: number): void {
    if (nowMs - this.#secondAtMs < SECOND_MS) return;
    this.#secondAtMs = nowMs;
    this.#lines = 0;
    if (this.#left === 0) return;
    this.#log.write(LogLevel.Warn, PART, 'Lines were left out.', { lines: this.#left });
    this.#left = 0;
  }
}
