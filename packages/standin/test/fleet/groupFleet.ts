/** Real daemons around a group: the ranks' engines answer over HTTP from this process. */
import { fileURLToPath } from 'node:url';

import { ConfigKind, PoolKind, formatConfigKey } from '@radishbay/core/config/object.js';
import { HttpObjectStore } from '@radishbay/objects/httpObjectStore.js';

import { EngineServer } from '../../src/engine/engineServer.js';
import { ChildProgram } from '../../src/fleet/childProgram.js';
import { findFreePorts } from '../../src/fleet/portPool.js';
import { SettingsWriter } from '../../src/fleet/settingsWriter.js';
import { RankGroup } from '../../src/group/rankGroup.js';
import { PlatformServer } from '../../src/platform/platformServer.js';
import { PublishingEngine, type StagedMaps } from '../group/publishingEngine.js';

const DAEMON = fileURLToPath(new URL('../../../../daemon/bin/radishbayd.js', import.meta.url));
const HOST = '127.0.0.1';
const TOKEN = 'group-link-token';
const GROUP = 'choir';
const RANKS = 4;
const STEP_MS = 25;

/** Two entries, four side processes, their engines and the platform. */
export class GroupFleet {
  readonly group = new RankGroup({ ranks: RANKS, isFencingChecked: true, stepMs: STEP_MS });

  #onOrder: ((action: string) => void) | undefined;

  readonly #staged: StagedMaps = new Map();

  readonly #programs = new Map<string, ChildProgram>();

  readonly #servers: { readonly stop: () => Promise<void> }[] = [];

  readonly #writer: SettingsWriter;

  #store: HttpObjectStore | undefined;

  #platformUrl = '';

  private constructor(writer: SettingsWriter) {
    this.#writer = writer;
  }

  static async start(): Promise<GroupFleet> {
    const fleet = new GroupFleet(await SettingsWriter.create());
    await fleet.#startPlatform();
    const ports = await findFreePorts(RANKS + 6);
    await Promise.all(fleet.group.engines.map((_, rank) => fleet.#startRank(rank, ports[rank])));
    await Promise.all([0, 1].map((index) => fleet.#startEntry(index, ports.slice(RANKS))));
    return fleet;
  }

  /** Name of the entry that holds the group's lease. */
  async readCoordinator(): Promise<string> {
    const read = await this.#store?.get(`lease/group/${GROUP}`);
    const value = read?.unwrap()?.value as { holder: string } | undefined;
    return value?.holder.split('/')[0] ?? '';
  }

  /** Names the listener for each order to an engine, called before it is carried out. */
  followOrders(listener: (action: string) => void): void {
    this.#onOrder = listener;
  }

  /** Ends a program at once. */
  kill(name: string): void {
    this.#programs.get(name)?.send('SIGKILL');
  }

  async stop(): Promise<void> {
    this.#store?.close();
    await Promise.all([...this.#programs.values()].map((program) => program.end()));
    await Promise.all(this.#servers.map((server) => server.stop()));
    await this.#writer.dispose();
  }

  async #startPlatform(): Promise<void> {
    const server = new PlatformServer();
    this.#servers.push(server);
    this.#platformUrl = `http://${HOST}:${await server.start(0)}`;
    this.#store = new HttpObjectStore({ baseUrl: this.#platformUrl, callTimeoutMs: 5_000 });
    await this.#put(ConfigKind.Pool, 'chat', { kind: PoolKind.Model });
    await this.#put(ConfigKind.Domain, 'zone-a', {});
    const shape = { ranks: RANKS, layers: 2, expertsPerLayer: 8, slotsPerRank: 3 };
    const memory = { expertBytes: 1_000, spareExperts: 10 };
    await this.#put(ConfigKind.Group, GROUP, { pool: 'chat', ...shape, ...memory });
  }

  async #startRank(rank: number, port = 0): Promise<void> {
    const engine = new PublishingEngine(this.group, rank, this.#staged);
    const server = new EngineServer({}, new Map(), {
      canHandle: (action) => engine.takes(action),
      order: (order) => {
        this.#onOrder?.(order.action);
        return engine.order(order);
      },
    });
    this.#servers.push(server);
    const url = `http://${HOST}:${await server.start(0)}`;
    const name = `rank-${rank}`;
    const links = { host: HOST, port, token: TOKEN };
    const upstream = { kind: 'model', url };
    await this.#startDaemon(name, { role: 'side', links, upstream });
    const address = `${HOST}:${port}`;
    const place = { pool: 'chat', domain: 'zone-a', group: GROUP, rank, address };
    await this.#put(ConfigKind.Upstream, name, { ...place, warmLimit: 8, coldLimit: 4 });
  }

  async #startEntry(index: number, ports: readonly number[]): Promise<void> {
    const [callers, operators, links] = ports.slice(index * 3);
    const peers = [ports[2], ports[5]].filter((port) => port !== links);
    await this.#startDaemon(`entry-${index + 1}`, {
      role: 'entry',
      callers: { host: HOST, port: callers },
      operators: {
        host: HOST,
        port: operators,
        accounts: [{ name: 'test', token: 'test-operator-token' }],
      },
      links: {
        host: HOST,
        port: links,
        token: TOKEN,
        peers: peers.map((port) => `${HOST}:${port}`),
      },
      platform: { url: this.#platformUrl },
    });
  }

  async #startDaemon(name: string, settings: object): Promise<void> {
    const log = { level: 'info', format: 'text' };
    const file = await this.#writer.write(name, { name, domain: 'zone-a', log, ...settings });
    const program = new ChildProgram(name, [DAEMON, '--settings', file]);
    this.#programs.set(name, program);
    await program.waitForLine(/ is up\./);
  }

  async #put(kind: ConfigKind, name: string, value: object): Promise<void> {
    const key = formatConfigKey(kind, name);
    (await this.#store?.put(key, { name, ...value }, 0))?.unwrap();
  }
}
