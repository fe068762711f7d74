/** Log that records its sentences and prints nothing. */
import { Log } from '@radishbay/core/ports/log.js';

export class RecordingLog extends Log {
  readonly sentences: string[] = [];

  override write(_level: unknown, _part: string, sentence: string): void {
    this.sentences.push(sentence);
  }
}
