/** The structured log over winston. */
import type { Writable } from 'node:stream';

import winston from 'winston';

import { Log, type LogFields, type LogLevel } from '@radishbay/core/ports/log.js';

import { LogFormat } from '../settings/settings.js';

/** One pass over the fields: winston's own formats copy them once for each step. */
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
  /** Name of the process, on every line. */
  readonly name: string;
  readonly level: LogLevel;
  readonly format: LogFormat;
  /** Where lines go; standard error without it, so that standard output stays for results. */
  readonly stream?: Writable;
}

function createTransport(stream: Writable | undefined): winston.transport {
  if (stream) return new winston.transports.Stream({ stream, eol: '\n' });
  return new winston.transports.Console({ stderrLevels: Object.keys(winston.config.npm.levels) });
}

/** Writes log lines with the time of day and with the steady clock, which never jumps. */
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
