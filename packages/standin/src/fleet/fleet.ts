/**
 * A small fleet of real processes on loopback: stand-ins, side processes and entries.
 *
 * Every process is ended by {@link Fleet.stop}; none outlives the harness that started it.
 */
import { fileURLToPath } from 'node:url';

import { HttpObjectStore } from '@radishbay/objects/httpObjectStore.js';
import { wait } from '@radishbay/core/wait.js';

import { ChildProgram } from './childProgram.js';
import { listObjects, SAMPLE_MODEL, type FleetPlan, type PlannedUpstream } from './fleetPlan.js';
import { callHttp } from './httpCall.js';
import { findFreePorts } from './portPool.js';
import { SettingsWriter } from './settingsWriter.js';
import { TcpRelay } from './tcpRelay.js';

const HOST = '127.0.0.1';
const DAEMON = fileURLToPath(new URL('../../../../daemon/bin/radishbayd.js', import.meta.url));
const STANDINS = new URL('../', import.meta.url);
const LINK_TOKEN = 'fleet-link-token';
const STORE_TIMEOUT_MS = 5_000;
const POLL_MS = 50;
const STATUS_OK = 200;

export const OPERATOR_NAME = 'demo';
export const OPERATOR_TOKEN = 'demo-operator-token';

/** Overrides that a harness gives to all daemons. */
export interface FleetOptions {
  readonly plan: FleetPlan;
  readonly timing?: Readonly<Record<string, number>>;
  /** Whether a relay stands in front of each side process, to cut and silence its links. */
  readonly hasRelays?: boolean;
  /** Time between the failing readiness check and closed connections in a planned stop. */
  readonly noticeMs?: number;
  /** Options of the stand-in engines, such as their step time. */
  readonly engineOptions?: Readonly<Record<string, unknown>>;
  /** Servers of the harness that take the place of stand-ins, by the name of their upstream. */
  readonly engineUrls?: ReadonlyMap<string, string>;
  /** Flags of the Node processes of all daemons. */
  readonly daemonFlags?: readonly string[];
}

/** Where one entry is reached. */
export interface EntryAddress {
  readonly name: string;
  readonly callersUrl: string;
  readonly operatorsUrl: string;
}

interface EntryPorts {
  readonly callers: number;
  readonly operators: number;
  readonly links: number;
}

function standinScript(name: string): string {
  return fileURLToPath(new URL(`${name}/main.js`, STANDINS));
}

/** Running processes, by name. */
export class Fleet {
  readonly #options: FleetOptions;

  readonly #programs = new Map<string, ChildProgram>();

  readonly #settingsFiles = new Map<string, string>();

  readonly #engineUrls = new Map<string, string>();

  readonly #sideAddresses = new Map<string, string>();

  readonly #relays = new Map<string, TcpRelay>();

  readonly #entryPorts = new Map<string, EntryPorts>();

  readonly #writer: SettingsWriter;

  #platformUrl = '';

  private constructor(options: FleetOptions, writer: SettingsWriter) {
    this.#options = options;
    this.#writer = writer;
  }

  /** Starts everything and waits until every entry is ready. */
  static async start(options: FleetOptions): Promise<Fleet> {
    const fleet = new Fleet(options, await SettingsWriter.create());
    try {
      await fleet.#startPlatform();
      await Promise.all(options.plan.upstreams.map((upstream) => fleet.#startUpstream(upstream)));
      await fleet.#writeConfiguration();
      await fleet.#planEntries();
      await Promise.all(options.plan.entries.map(({ name }) => fleet.startDaemon(name)));
      await fleet.waitUntilReady();
      return fleet;
    } catch (error) {
      await fleet.stop();
      throw error;
    }
  }

  get platformUrl(): string {
    return this.#platformUrl;
  }

  get entries(): readonly EntryAddress[] {
    return [...this.#entryPorts].map(([name, ports]) => ({
      name,
      callersUrl: `http://${HOST}:${ports.callers}`,
      operatorsUrl: `http://${HOST}:${ports.operators}`,
    }));
  }

  /** Number of processes that run. */
  get size(): number {
    return this.#programs.size;
  }

  /** Base address of the stand-in behind an upstream. */
  readEngineUrl(upstream: string): string {
    return this.#engineUrls.get(upstream) ?? '';
  }

  /** A running program: an entry or `platform` by name, `side-UPSTREAM`, `engine-UPSTREAM`. */
  getProgram(name: string): ChildProgram {
    const program = this.#programs.get(name);
    if (!program) throw new Error(`no program ${name}`);
    return program;
  }

  /** The relay in front of a side process. */
  getRelay(upstream: string): TcpRelay {
    const relay = this.#relays.get(upstream);
    if (!relay) throw new Error(`no relay for ${upstream}`);
    return relay;
  }

  /** Starts a daemon whose settings are written, again after its end too. */
  async startDaemon(name: string): Promise<void> {
    const file = this.#settingsFiles.get(name);
    if (!file) throw new Error(`no settings for ${name}`);
    const { daemonFlags = [] } = this.#options;
    const program = new ChildProgram(name, [...daemonFlags, DAEMON, '--settings', file]);
    this.#programs.set(name, program);
    await program.waitForLine(/ is up\./);
  }

  /** Waits until every entry answers that it is ready. */
  async waitUntilReady(): Promise<void> {
    await Promise.all(this.entries.map((entry) => this.#waitForEntry(entry)));
  }

  /** Ends every process and removes the settings. */
  async stop(): Promise<void> {
    const isEntry = (name: string) => this.#entryPorts.has(name);
    const programs = [...this.#programs.values()];
    await Promise.all(programs.filter(({ name }) => isEntry(name)).map((one) => one.end()));
    await Promise.all(programs.filter(({ name }) => !isEntry(name)).map((one) => one.end()));
    await Promise.all([...this.#relays.values()].map((relay) => relay.stop()));
    await this.#writer.dispose();
  }

  async #startStandin(
    name: string,
    kind: string,
    options: Readonly<Record<string, unknown>>,
  ): Promise<string> {
    const program = new ChildProgram(name, [
      standinScript(kind),
      '--port',
      '0',
      '--options',
      JSON.stringify(options),
    ]);
    this.#programs.set(name, program);
    const line = await program.waitForLine(/^listening \d+$/);
    return `http://${HOST}:${line.split(' ')[1]}`;
  }

  async #startPlatform(): Promise<void> {
    this.#platformUrl = await this.#startStandin('platform', 'platform', {});
  }

  async #startUpstream(upstream: PlannedUpstream): Promise<void> {
    const kind = upstream.isPlain ? 'plain' : 'engine';
    const options = upstream.isPlain
      ? {}
      : { models: [SAMPLE_MODEL], coldLimit: upstream.coldLimit, ...this.#options.engineOptions };
    const url =
      this.#options.engineUrls?.get(upstream.name) ??
      (await this.#startStandin(`engine-${upstream.name}`, kind, options));
    this.#engineUrls.set(upstream.name, url);
    const [port] = await findFreePorts(1);
    this.#sideAddresses.set(upstream.name, await this.#chooseAddress(upstream.name, port ?? 0));
    const name = `side-${upstream.name}`;
    const settings = {
      role: 'side',
      name: upstream.name,
      domain: upstream.domain,
      links: { host: HOST, port, token: LINK_TOKEN },
      upstream: { kind: upstream.isPlain ? 'plain' : 'model', url },
      ...this.#commonSettings(),
    };
    this.#settingsFiles.set(name, await this.#writer.write(name, settings));
    await this.startDaemon(name);
  }

  /** Address at which entries find a side process. */
  async #chooseAddress(upstream: string, sidePort: number): Promise<string> {
    if (!this.#options.hasRelays) return `${HOST}:${sidePort}`;
    const relay = new TcpRelay(HOST, sidePort);
    this.#relays.set(upstream, relay);
    return `${HOST}:${await relay.start()}`;
  }

  async #writeConfiguration(): Promise<void> {
    const store = new HttpObjectStore({
      baseUrl: this.#platformUrl,
      callTimeoutMs: STORE_TIMEOUT_MS,
    });
    const objects = listObjects(this.#options.plan, this.#sideAddresses);
    await Promise.all(
      objects.map(async ({ key, value }) => (await store.put(key, value, 0)).unwrap()),
    );
    store.close();
  }

  async #planEntries(): Promise<void> {
    const { entries } = this.#options.plan;
    const ports = await findFreePorts(entries.length * 3);
    entries.forEach(({ name }, index) => {
      const [callers = 0, operators = 0, links = 0] = ports.slice(index * 3, index * 3 + 3);
      this.#entryPorts.set(name, { callers, operators, links });
    });
    await Promise.all(entries.map((entry) => this.#writeEntrySettings(entry)));
  }

  async #writeEntrySettings(entry: { name: string; domain: string }): Promise<void> {
    const ports = this.#entryPorts.get(entry.name);
    if (!ports) throw new Error(`no ports for ${entry.name}`);
    const others = [...this.#entryPorts].filter(([name]) => name !== entry.name);
    const settings = {
      role: 'entry',
      name: entry.name,
      domain: entry.domain,
      callers: { host: HOST, port: ports.callers },
      operators: {
        host: HOST,
        port: ports.operators,
        accounts: [{ name: OPERATOR_NAME, token: OPERATOR_TOKEN }],
      },
      links: {
        host: HOST,
        port: ports.links,
        token: LINK_TOKEN,
        peers: others.map(([, other]) => `${HOST}:${other.links}`),
      },
      platform: { url: this.#platformUrl },
      ...this.#commonSettings(),
    };
    this.#settingsFiles.set(entry.name, await this.#writer.write(entry.name, settings));
  }

  #commonSettings(): Readonly<Record<string, unknown>> {
    return {
      log: { level: 'info', format: 'text' },
      timing: this.#options.timing ?? {},
      stop: { noticeMs: this.#options.noticeMs ?? 300 },
    };
  }

  async #waitForEntry(entry: EntryAddress): Promise<void> {
    const program = this.getProgram(entry.name);
    const answer = await callHttp({ url: `${entry.callersUrl}/readyz` });
    if (answer.ok && answer.val.status === STATUS_OK) return;
    const end = await Promise.race([program.waitForEnd(), wait(POLL_MS)]);
    if (end) throw new Error(`${entry.name} ended before it was ready`);
    await this.#waitForEntry(entry);
  }
}
