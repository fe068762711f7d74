/** The structured log over winston. */
import winston from 'winston';

import { Log, type LogFields, type LogLevel } from '@radishbay/core/ports/log.js';

import { LogFormat } from '../settings/settings.js';

function formatText(info: winston.Logform.TransformableInfo): string {
  const { timestamp, level, message, part, process: processName, ...fields } = info;
  const rest = Object.entries(fields).map(([key, value]) => `${key}=${String(value)}`);
  return [timestamp, level, processName, `${String(part)}:`, message, ...rest].join(' ');
}

/** Writes log lines to standard error, so that standard output stays for results. */
export class WinstonLog extends Log {
  readonly #logger: winston.Logger;

  /** @param name name of the process, on every line */
  constructor(name: string, level: LogLevel, format: LogFormat) {
    super();
    const { combine, json, printf, timestamp } = winston.format;
    this.#logger = winston.createLogger({
      level,
      defaultMeta: { process: name },
      format: combine(timestamp(), format === LogFormat.Json ? json() : printf(formatText)),
      transports: [
        new winston.transports.Console({ stderrLevels: Object.keys(winston.config.npm.levels) }),
      ],
    });
  }

  override write(level: LogLevel, part: string, sentence: string, fields: LogFields = {}): void {
    this.#logger.log({ ...fields, level, message: sentence, part });
  }
}
