/** Interface of the structured log. */

export enum LogLevel {
  Debug = 'debug',
  /**
   * Steps of a request without trouble. Uses winston's name for this level; these lines are the
   * first to be dropped when there are too many.
   */
  Routine = 'http',
  Info = 'info',
  Warn = 'warn',
  Error = 'error',
}

/** Structured fields of a log line; they must contain no secrets and no bodies. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes log lines: a short sentence prefixed with the name of its part. */
export abstract class Log {
  /** @param part name of the part of the system, such as `routing` */
  abstract write(level: LogLevel, part: string, sentence: string, fields?: LogFields): void;
}
