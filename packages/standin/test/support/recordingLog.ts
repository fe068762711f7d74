import { Log, type LogFields, type LogLevel } from '@radishbay/core/ports/log.js';

/** Keeps the sentences written. */
export class RecordingLog extends Log {
  readonly lines: { level: LogLevel; sentence: string; fields: LogFields | undefined }[] = [];

  write(level: LogLevel, _part: string, sentence: string, fields?: LogFields): void {
    this.lines.push({ level, sentence, fields });
  }
}
