/** Log that records its lines and prints nothing. */
import { Log, type LogFields, type LogLevel } from '../../src/ports/log.js';

export interface LogLine {
  readonly level: LogLevel;
  readonly sentence: string;
  readonly fields: LogFields;
}

export class RecordingLog extends Log {
  readonly lines: LogLine[] = [];

  override write(level: LogLevel, _part: string, sentence: string, fields: LogFields = {}): void {
    this.lines.push({ level, sentence, fields });
  }

  /** @returns the last line with a sentence */
  find(sentence: string): LogLine | undefined {
    return this.lines.findLast((line) => line.sentence === sentence);
  }
}
