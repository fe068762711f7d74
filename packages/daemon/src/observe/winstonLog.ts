/** Structured log based on winston. */
import type { Writable } from 'node:stream';

import winston from 'winston';

import { Log, type LogFields, type LogLevel } from '@radishbay/core/ports/log.js';

import { LogFormat } from '../settings/settings.js';

/** Formats JSON in one pass; winston's built-in formats copy the fields at every step. */
function formatJson(info: winston.Logform.TransformableInfo): string {
  return JSON.stringify({ timestamp: new Date().toISOString(), ...info });
}

function formatText(info: winston.Logform.TransformableInfo): string {
  const { level, message, part, process: processName, ...fields } = info;
  const timestamp = new Date().toISOString();
  const rest = Object.entries(fields).map(([key, value]) => `${key}=${String(value)}`);
  return [timestamp, level, processName, `${String(part)}:`, message, ...rest].join(' ');
}

export interface WinstonLogOptions {
  /** Name of the process, added to every line. */
  readonly name: string;
  readonly level: LogLevel;
  readonly format: LogFormat;
  /** Destination of lines; by default standard error, which keeps standard output for results. */
  readonly stream?: Writable;
}

function createTransport(stream: Writable | undefined): winston.transport {
  if (stream) return new winston.transports.Stream({ stream, eol: '\n' });
  return new winston.transports.Console({ stderrLevels: Object.keys(winston.config.npm.levels) });
}

/** Writes log lines with the wall-clock time and with a monotonic clock, `steadyMs`. */
export class WinstonLog extends Log {
  readonly #logger: winston.Logger;

  constructor({ name, level, format, stream }: WinstonLogOptions) {
    super();
    this.#logger = winston.createLogger({
      level,
      defaultMeta: { process: name },
      format: winston.format.printf(format === LogFormat.Json ? formatJson : formatText),
      transports: [createTransport(stream)],
    });
  }

  override write(level: LogLevel, part: string, sentence: string, fields: LogFields = {}): void {
    const steadyMs = Math.round(performance.now());
    this.#logger.log({ ...fields, level, message: sentence, part, steadyMs });
  }
}
