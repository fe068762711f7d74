/** A program in a process of its own, started and ended by a harness. */
import { spawn, type ChildProcess } from 'node:child_process';
import { createInterface } from 'node:readline';

/** Lines of output kept for reading after a failure. */
const LINES_KEPT = 400;

/** Time for a program to end by itself before it is killed. */
const END_TIMEOUT_MS = 20_000;

/** How a program ended. */
export interface ProgramEnd {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** What a program is started with beside its arguments. */
export interface ProgramOptions {
  /** In place of the harness's own environment. */
  readonly environment?: NodeJS.ProcessEnv;
  /** Open file that takes all output in place of {@link ChildProgram.lines}. */
  readonly outputFile?: number;
}

/** One running program. */
export class ChildProgram {
  readonly name: string;

  readonly #child: ChildProcess;

  readonly #lines: string[] = [];

  readonly #ended: Promise<ProgramEnd>;

  #waiting: { readonly pattern: RegExp; readonly resolve: (line: string) => void }[] = [];

  /**
   * Starts a Node program.
   *
   * @param args script and arguments
   */
  constructor(name: string, args: readonly string[], options: ProgramOptions = {}) {
    this.name = name;
    const output = options.outputFile ?? 'pipe';
    this.#child = spawn(process.execPath, [...args], {
      env: options.environment ?? process.env,
      stdio: ['ignore', output, output],
    });
    [this.#child.stdout, this.#child.stderr].forEach((stream) => {
      if (stream) createInterface({ input: stream }).on('line', (line) => this.#note(line));
    });
    this.#ended = new Promise((resolve) => {
      this.#child.once('close', (code, signal) => resolve({ code, signal }));
    });
  }

  get pid(): number {
    return this.#child.pid ?? 0;
  }

  /** Last lines of output. */
  get lines(): readonly string[] {
    return this.#lines;
  }

  /** Waits for a line of output, past ones included; rejects when the program ends first. */
  waitForLine(pattern: RegExp): Promise<string> {
    const past = this.#lines.find((line) => pattern.test(line));
    if (past !== undefined) return Promise.resolve(past);
    const found = new Promise<string>((resolve) => {
      this.#waiting.push({ pattern, resolve });
    });
    const early = this.#ended.then((end) => {
      throw new Error(`${this.name} ended with ${end.code}: ${this.#lines.slice(-5).join(' | ')}`);
    });
    return Promise.race([found, early]);
  }

  /** Waits for the end of the program. */
  waitForEnd(): Promise<ProgramEnd> {
    return this.#ended;
  }

  send(signal: NodeJS.Signals): void {
    this.#child.kill(signal);
  }

  /** Ends the program politely, then by force. */
  async end(): Promise<ProgramEnd> {
    this.send('SIGCONT');
    this.send('SIGTERM');
    const timer = setTimeout(() => this.send('SIGKILL'), END_TIMEOUT_MS);
    const end = await this.#ended;
    clearTimeout(timer);
    return end;
  }

  #note(line: string): void {
    this.#lines.push(line);
    if (this.#lines.length > LINES_KEPT) this.#lines.shift();
    const { hit, rest } = this.#splitWaiting(line);
    this.#waiting = rest;
    hit.forEach((waiter) => waiter.resolve(line));
  }

  #splitWaiting(line: string) {
    const hit = this.#waiting.filter((waiter) => waiter.pattern.test(line));
    return { hit, rest: this.#waiting.filter((waiter) => !hit.includes(waiter)) };
  }
}
