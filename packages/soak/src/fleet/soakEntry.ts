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

/** Loaded before the program: lets its wall clock jump on a signal. */
const JUMPING_CLOCK = new URL('../clock/jumpingClock.js', import.meta.url).href;

/** Time between two looks whether it is ready. */
const READY_POLL_MS = 50;

export interface SoakEntryOptions {
  readonly name: string;
  /** Loopback address of its own, as every entry serves its metrics on the same port. */
  readonly address: string;
  readonly domain: string;
  readonly storePort: number;
  /** Folder of settings files and logs. */
  readonly folder: string;
}

/** The process is replaced at every start; addresses stay. */
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

  /** The link on which other entries reach this one. */
  get peerLink(): TcpRelay {
    if (!this.#peerLink) throw new Error(`entry "${this.name}" is not prepared`);
    return this.#peerLink;
  }

  /** The address at which others reach the entry, in place of the one that it tells. */
  translateAddress(address: string): string {
    const own = `${this.address}:${this.#ports[2]}`;
    return address === own ? `${this.address}:${this.#peerLinkPort}` : address;
  }

  /** Names its ports and starts its relays. */
  async prepare(): Promise<void> {
    this.#ports = await findFreePorts(3);
    this.#peerLink = new TcpRelay(this.address, this.#ports[2] ?? 0);
    this.#peerLinkPort = await this.#peerLink.start();
    this.#storeLinkPort = await this.storeLink.start();
    await this.writeSettings();
  }

  /** Writes the settings file, with a floor of the retry budget where one is given. */
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

  /** Sends a signal to the process that runs now, if any. */
  signal(name: NodeJS.Signals): void {
    this.#program?.send(name);
  }

  /** Waits for the end of the process that runs now. */
  waitForEnd(): Promise<ProgramEnd> {
    return this.#ended;
  }

  isReady(): Promise<boolean> {
    return isEntryReady(this.#ports[1] ?? 0, this.address);
  }

  /** @returns whether it has become ready within a time */
  async waitUntilReady(limitMs: number): Promise<boolean> {
    if (await this.isReady()) return true;
    if (limitMs <= 0) return false;
    await wait(READY_POLL_MS);
    return this.waitUntilReady(limitMs - READY_POLL_MS);
  }

  /** Ends the process and the relays. */
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
