/** Non-blocking standard output: drops and counts lines that exceed its limits. */
import net from 'node:net';
import { Writable } from 'node:stream';

/** Buffered bytes above which lines are dropped. */
const BUFFER_BYTES_MAX = 512 * 1024;

/** Bytes per second above which lines are dropped: 300 lines of usual length, some longer ones. */
const BYTES_PER_S = 160 * 1024;

const SECOND_MS = 1_000;

const STDOUT_FD = 1;

/** Opens standard output: a pipe or socket without blocking, a file through Node's stream. */
function openStdout(): Writable {
  try {
    return new net.Socket({ fd: STDOUT_FD, readable: false, writable: true });
  } catch {
    // The descriptor is a file: a write does not wait for a reader.
    return process.stdout;
  }
}

/** Writes the log lines of one process to standard output. */
export class OutputStream extends Writable {
  readonly #destination: Writable;

  #droppedLines = 0;

  #secondStartedAtMs = performance.now();

  #secondBytes = 0;

  constructor(out: Writable = openStdout()) {
    super({ decodeStrings: false });
    this.#destination = out;
    this.#destination.on('error', () => {
      this.#droppedLines += 1;
    });
  }

  /** Lines dropped since the process started. */
  get droppedLines(): number {
    return this.#droppedLines;
  }

  // eslint-disable-next-line no-underscore-dangle -- Node's name
  override _write(line: string | Buffer, _encoding: string, done: () => void): void {
    this.#startSecondIfDue(performance.now());
    const isFull =
      this.#destination.writableLength > BUFFER_BYTES_MAX || this.#secondBytes > BYTES_PER_S;
    if (isFull) this.#droppedLines += 1;
    else {
      this.#secondBytes += line.length;
      this.#destination.write(line);
    }
    done();
  }

  #startSecondIfDue(nowMs: number): void {
    if (nowMs - this.#secondStartedAtMs < SECOND_MS) return;
    this.#secondStartedAtMs = nowMs;
    this.#secondBytes = 0;
  }
}
