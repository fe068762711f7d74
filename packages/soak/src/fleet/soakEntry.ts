/** One entry of a soak: the real program, its settings file, and the relays on its links. */
import { spawn, type ChildProcess } from 'node:child_process';
import { open, writeFile } from 'node:fs/promises';
import path from 'node:path';
import { fileURLToPath } from 'node:url';

import { sendRequest } from '@radishbay/fleet-platform/standin/callerRequest.js';
import { createWireSettings } from '@radishbay/fleet-platform/standin/wireSamples.js';
import { findFreePorts } from '@radishbay/standin/fleet/portPool.js';
import { TcpRelay } from '@radishbay/standin/fleet/tcpRelay.js';

const ROOT = fileURLToPath(new URL('../../../../..', import.meta.url));

const PROGRAM = path.join(ROOT, 'target/radishbayd.mjs');

/** Loaded before the program: lets its wall clock jump on a signal. */
const JUMPING_CLOCK = new URL('../clock/jumpingClock.js', import.meta.url).href;

/** How a process ended. */
export interface EntryEnd {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

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

  #child: ChildProcess | undefined;

  #ended: Promise<EntryEnd> = Promise.resolve({ code: null, signal: null });

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
    return this.#child !== undefined;
  }

  /** The link on which other entries reach this one. */
  get peerLink(): TcpRelay {
    if (!this.#peerLink) throw new Error(`entry "${this.name}" is not prepared`);
    return this.#peerLink;
  }

  /** The address at which others reach the entry, in place of the one that it tells. */
  translate(address: string): string {
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
    const place = this.#options;
    const settings = createWireSettings(this.#storeLinkPort, this.#ports, place, retryFloor);
    await writeFile(this.#settingsFile, JSON.stringify(settings));
  }

  async start(): Promise<void> {
    const log = await open(path.join(this.#options.folder, `${this.name}.log`), 'a');
    const child = spawn(process.execPath, ['--import', JUMPING_CLOCK, PROGRAM], {
      cwd: ROOT,
      env: { PATH: process.env.PATH ?? '', RADISHBAY_NODE_FILE: this.#settingsFile },
      stdio: ['ignore', log.fd, log.fd],
    });
    this.#child = child;
    this.#ended = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        if (this.#child === child) this.#child = undefined;
        resolve({ code, signal });
      });
    });
    await log.close();
  }

  /** Sends a signal to the process that runs now, if any. */
  signal(name: NodeJS.Signals): void {
    this.#child?.kill(name);
  }

  /** Waits for the end of the process that runs now. */
  waitForEnd(): Promise<EntryEnd> {
    return this.#ended;
  }

  async isReady(): Promise<boolean> {
    const { address } = this;
    const answer = await sendRequest(this.#ports[1] ?? 0, '/readyz', {
      method: 'GET',
      address,
    }).catch(() => undefined);
    return answer?.status === 200;
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
