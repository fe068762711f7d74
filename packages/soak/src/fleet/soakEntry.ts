/** One entry of a soak: the real program, its settings file, and the relays on its links. */
import { open, writeFile } from 'node:fs/promises';
import path from 'node:path';

import { wait } from '@radishbay/core/wait.js';
import {
  createEntryEnvironment,
  ENTRY_PROGRAM,
  isEntryReady,
} from '@radishbay/fleet-platform/standin/entryProgram.js';
import { createWireSettings } from '@radishbay/fleet-platform/standin/wireSamples.js';
import { ChildProgram, type ProgramEnd } from '@radishbay/standin/fleet/childProgram.js';
import { findFreePorts } from '@radishbay/standin/fleet/portPool.js';
import { TcpRelay } from '@radishbay/standin/fleet/tcpRelay.js';

/** Module loaded before the program; makes its wall clock jump on a signal. */
const JUMPING_CLOCK = new URL('../clock/jumpingClock.js', import.meta.url).href;

/** Interval of readiness polls. */
const READY_POLL_MS = 50;

export interface SoakEntryOptions {
  readonly name: string;
  /** Own loopback address, as every entry serves its metrics on the same port. */
  readonly address: string;
  readonly domain: string;
  readonly storePort: number;
  /** Folder for settings files and logs. */
  readonly folder: string;
}

/** An entry whose process is replaced at every start; its addresses stay. */
export class SoakEntry {
  readonly #options: SoakEntryOptions;

  readonly storeLink: TcpRelay;

  #peerLink: TcpRelay | undefined;

  #peerLinkPort = 0;

  #storeLinkPort = 0;

  #ports: readonly number[] = [];

  #program: ChildProgram | undefined;

  #ended: Promise<ProgramEnd> = Promise.resolve({ code: null, signal: null });

  constructor(options: SoakEntryOptions) {
    this.#options = options;
    this.storeLink = new TcpRelay('127.0.0.1', options.storePort);
  }

  get name(): string {
    return this.#options.name;
  }

  get domain(): string {
    return this.#options.domain;
  }

  get address(): string {
    return this.#options.address;
  }

  get callerPort(): number {
    return this.#ports[0] ?? 0;
  }

  get isRunning(): boolean {
    return this.#program !== undefined;
  }

  /** Link through which other entries reach this one. */
  get peerLink(): TcpRelay {
    if (!this.#peerLink) throw new Error(`entry "${this.name}" has no peer link before prepare()`);
    return this.#peerLink;
  }

  /** Replaces the address that the entry announces by that of its peer relay; keeps others. */
  translateAddress(address: string): string {
    const own = `${this.address}:${this.#ports[2]}`;
    return address === own ? `${this.address}:${this.#peerLinkPort}` : address;
  }

  /** Allocates its ports, starts its relays and writes its settings. */
  async prepare(): Promise<void> {
    this.#ports = await findFreePorts(3);
    this.#peerLink = new TcpRelay(this.address, this.#ports[2] ?? 0);
    this.#peerLinkPort = await this.#peerLink.start();
    this.#storeLinkPort = await this.storeLink.start();
    await this.writeSettings();
  }

  /** Writes the settings file, optionally with another floor of the retry budget. */
  async writeSettings(retryFloor?: number): Promise<void> {
    const options = this.#options;
    const settings = createWireSettings(this.#storeLinkPort, this.#ports, options, retryFloor);
    await writeFile(this.#settingsFile, JSON.stringify(settings));
  }

  async start(): Promise<void> {
    const log = await open(path.join(this.#options.folder, `${this.name}.log`), 'a');
    const program = new ChildProgram(this.name, ['--import', JUMPING_CLOCK, ENTRY_PROGRAM], {
      environment: createEntryEnvironment(this.#settingsFile),
      outputFile: log.fd,
    });
    this.#program = program;
    this.#ended = program.waitForEnd().then((end) => {
      if (this.#program === program) this.#program = undefined;
      return end;
    });
    await log.close();
  }

  /** Sends a signal to the current process, if any. */
  signal(name: NodeJS.Signals): void {
    this.#program?.send(name);
  }

  /** Waits until the current process exits. */
  waitForEnd(): Promise<ProgramEnd> {
    return this.#ended;
  }

  isReady(): Promise<boolean> {
    return isEntryReady(this.#ports[1] ?? 0, this.address);
  }

  /** @returns whether it became ready within the limit */
  async waitUntilReady(limitMs: number): Promise<boolean> {
    if (await this.isReady()) return true;
    if (limitMs <= 0) return false;
    await wait(READY_POLL_MS);
    return this.waitUntilReady(limitMs - READY_POLL_MS);
  }

  /** Kills the process, paused or not, and stops the relays. */
  async stop(): Promise<void> {
    this.signal('SIGCONT');
    this.signal('SIGKILL');
    await this.#ended;
    await Promise.all([this.storeLink.stop(), this.#peerLink?.stop()]);
  }

  get #settingsFile(): string {
    return path.join(this.#options.folder, `${this.name}.json`);
  }
}
