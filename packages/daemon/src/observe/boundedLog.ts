/**
 * Limits the number of log lines that a process writes per second.
 *
 * Routine lines, one or more per request, are dropped first: above their budget, requests are
 * sampled by id, so that every sampled request keeps all its lines. Info lines, for failures and
 * state changes, are dropped next, and warnings and errors last. A line of its own reports how many
 * were dropped.
 */
import { createHash } from 'node:crypto';

import { Log, LogLevel, type LogFields } from '@radishbay/core/ports/log.js';

const PART = 'log';

const SECOND_MS = 1_000;

/** Lines of all levels per second; writing one takes some tens of microseconds. */
const LINES_PER_S = 300;

/** Lines per second above which levels below warning are dropped. */
const INFO_LINES_PER_S = 250;

/** Routine lines per second: enough for all lines of about 50 requests per second. */
const ROUTINE_LINES_PER_S = 150;

/** Fraction of the routine budget targeted by sampling; the rest absorbs uneven arrivals. */
const SAMPLING_TARGET = 0.8;

/** Lines of all levels per second above which a level is dropped. */
const LIMITS: Readonly<Record<LogLevel, number>> = {
  [LogLevel.Debug]: INFO_LINES_PER_S,
  [LogLevel.Routine]: INFO_LINES_PER_S,
  [LogLevel.Info]: INFO_LINES_PER_S,
  [LogLevel.Warn]: LINES_PER_S,
  [LogLevel.Error]: LINES_PER_S,
};

/** Upper bound of {@link hashId}, exclusive. */
const HASH_RANGE = 2 ** 32;

/** Hashes an id to a uniformly distributed number, the same in every process. */
function hashId(id: string): number {
  return createHash('sha1').update(id).digest().readUInt32BE(0);
}

function isRoutine(level: LogLevel): boolean {
  return level === LogLevel.Routine || level === LogLevel.Debug;
}

/** A log with a rate limit per level and sampling of routine lines. */
export class BoundedLog extends Log {
  readonly #log: Log;

  #secondStartedAtMs = performance.now();

  /** Lines of all levels written in the current second. */
  #lines = 0;

  /** Routine lines of the current second, written or dropped. */
  #routineLines = 0;

  /** Routine lines written in the current second; counted apart from failures. */
  #routineWritten = 0;

  /** Fraction of the requests whose routine lines are written. */
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
    this.#log.write(LogLevel.Warn, PART, 'Log lines were dropped.', {
      routineLines: this.#droppedRoutineLines,
      otherLines: this.#droppedOtherLines,
      keptPart: Math.round(this.#sampledFraction * 1_000) / 1_000,
    });
    this.#lines = 1;
    this.#droppedRoutineLines = 0;
    this.#droppedOtherLines = 0;
  }
}
