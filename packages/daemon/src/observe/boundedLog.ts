/**
 * Bounds the lines that a process writes in a second.
 *
 * Routine lines, one or more for each request, are the first to go: beyond their budget the
 * requests are sampled, so that the history of those that are left is whole. Failures and changes
 * of what the process believes come next, warnings and errors last. What was left out is said in a
 * line of its own.
 */
import { createHash } from 'node:crypto';

import { Log, LogLevel, type LogFields } from '@radishbay/core/ports/log.js';

const PART = 'log';

const SECOND_MS = 1_000;

/** Lines of any kind in a second; each costs some tens of microseconds. */
const LINES_PER_S = 300;

/** Lines below warnings. */
const INFO_LINES_PER_S = 250;

/** Routine lines: some 50 requests a second have their whole history. */
const ROUTINE_LINES_PER_S = 150;

/** Part of the routine budget that sampling aims at: requests come unevenly. */
const SAMPLING_TARGET = 0.8;

/** Lines of any kind after which a level is left out. */
const LIMITS: Readonly<Record<LogLevel, number>> = {
  [LogLevel.Debug]: INFO_LINES_PER_S,
  [LogLevel.Routine]: INFO_LINES_PER_S,
  [LogLevel.Info]: INFO_LINES_PER_S,
  [LogLevel.Warn]: LINES_PER_S,
  [LogLevel.Error]: LINES_PER_S,
};

/** Range of {@link hashId}. */
const HASH_RANGE = 2 ** 32;

/** A number that is the same for an id in every process, evenly spread. */
function hashId(id: string): number {
  return createHash('sha1').update(id).digest().readUInt32BE(0);
}

function isRoutine(level: LogLevel): boolean {
  return level === LogLevel.Routine || level === LogLevel.Debug;
}

/** A log with a budget. */
export class BoundedLog extends Log {
  readonly #log: Log;

  #secondStartedAtMs = performance.now();

  /** Lines written in this second. */
  #lines = 0;

  /** Routine lines of this second, written or not. */
  #routineLines = 0;

  /** Those of them that were written: failures take nothing from their budget. */
  #routineWritten = 0;

  /** Part of the requests whose routine lines are written. */
  #sampledFraction = 1;

  #droppedRoutineLines = 0;

  #droppedOtherLines = 0;

  constructor(log: Log) {
    super();
    this.#log = log;
  }

  override write(level: LogLevel, part: string, sentence: string, fields?: LogFields): void {
    this.#startSecondIfDue(performance.now());
    if (isRoutine(level)) this.#routineLines += 1;
    if (this.#lines >= LIMITS[level] || this.#isRoutineLineDropped(level, fields)) {
      this.#countDropped(level);
      return;
    }
    this.#lines += 1;
    if (isRoutine(level)) this.#routineWritten += 1;
    this.#log.write(level, part, sentence, fields);
  }

  #isRoutineLineDropped(level: LogLevel, fields: LogFields | undefined): boolean {
    if (!isRoutine(level)) return false;
    if (this.#routineWritten >= ROUTINE_LINES_PER_S) return true;
    if (this.#sampledFraction === 1) return false;
    return hashId(String(fields?.id ?? '')) >= this.#sampledFraction * HASH_RANGE;
  }

  #countDropped(level: LogLevel): void {
    if (isRoutine(level)) this.#droppedRoutineLines += 1;
    else this.#droppedOtherLines += 1;
  }

  #startSecondIfDue(nowMs: number): void {
    if (nowMs - this.#secondStartedAtMs < SECOND_MS) return;
    const isOver = this.#routineLines > ROUTINE_LINES_PER_S;
    this.#sampledFraction = isOver
      ? (ROUTINE_LINES_PER_S * SAMPLING_TARGET) / this.#routineLines
      : 1;
    this.#secondStartedAtMs = nowMs;
    this.#lines = 0;
    this.#routineLines = 0;
    this.#routineWritten = 0;
    if (this.#droppedRoutineLines + this.#droppedOtherLines === 0) return;
    this.#log.write(LogLevel.Warn, PART, 'Lines were left out.', {
      routineLines: this.#droppedRoutineLines,
      otherLines: this.#droppedOtherLines,
      keptPart: Math.round(this.#sampledFraction * 1_000) / 1_000,
    });
    this.#lines = 1;
    this.#droppedRoutineLines = 0;
    this.#droppedOtherLines = 0;
  }
}
