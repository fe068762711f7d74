/** The structured log, as decisions see it. */

export enum LogLevel {
  Debug = 'debug',
  /** Steps of a request that goes well, by the name that winston has for them; first to go. */
  Routine = 'http',
  Info = 'info',
  Warn = 'warn',
  Error = 'error',
}

/** Structured fields of a log line; no secrets and no bodies. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes log lines: a short sentence with the fixed prefix of its part. */
export abstract class Log {
  /** @param part prefix of the part, such as `routing` */
  abstract write(level: LogLevel, part: string, sentence: string, fields?: LogFields): void;
}
