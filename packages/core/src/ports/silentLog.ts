/** A log that writes nothing, for tests and measurements. */
import { Log } from './log.js';

/** Discards every line. */
export class SilentLog extends Log {
  override write(): void {}
}
