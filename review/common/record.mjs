/** The record of a run, and the exit codes of a case. */
import { writeFileSync } from 'node:fs';

export const HELD = 0;
export const BROKEN = 1;
export const NOT_RUN = 2;

/** Whether the disruption takes place. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

/** Time after which a run is given up, in milliseconds. */
const LIMIT_MS = 116_000;

export class Record {
  #startedAtMs = performance.now();

  #lines = [];

  #file;

  constructor(file) {
    this.#file = file;
  }

  write(text) {
    const atMs = Math.round(performance.now() - this.#startedAtMs);
    this.#lines.push(`${String(atMs).padStart(7)} ms  ${text}`);
  }

  save() {
    writeFileSync(this.#file, `${this.#lines.join('\n')}\n`);
  }
}

/**
 * Runs a case and ends the process with its exit code.
 *
 * @param play returns whether the rule was broken, and a sentence about it
 * @param cleanUp ends all that the case has started
 */
export async function runCase(folder, play, cleanUp) {
  const record = new Record(new URL('record.txt', folder));
  const end = (code, text) => {
    record.write(text);
    record.save();
    console.log(text);
    // eslint-disable-next-line n/no-process-exit -- the exit code is the result of the case
    process.exit(code);
  };
  // Also after an exception that nothing catches, no process stays behind.
  process.on('exit', cleanUp);
  const limit = setTimeout(() => end(NOT_RUN, 'could not run: out of time'), LIMIT_MS);
  ['SIGINT', 'SIGTERM', 'SIGHUP'].forEach((name) =>
    process.on(name, () => end(NOT_RUN, `could not run: ${name}`)),
  );
  record.write(`trouble: ${HAS_TROUBLE}`);
  try {
    const { isBroken, text } = await play(record);
    clearTimeout(limit);
    end(isBroken ? BROKEN : HELD, `${isBroken ? 'broken' : 'held'}: ${text}`);
  } catch (error) {
    end(NOT_RUN, `could not run: ${error.message}`);
  }
}
