/** Daemon in the side role: controls access to the upstream on its VM. */
import { LogLevel } from '@radishbay/core/ports/log.js';
import { SideRegistrar } from '@radishbay/core/membership/sideRegistrar.js';
import { Random } from '@radishbay/core/ports/random.js';
import { SideNode } from '@radishbay/core/side/sideNode.js';
import { SideBoard } from '@radishbay/core/state/sideBoard.js';
import { Err, Ok, type Result } from '@radishbay/core/outcome.js';
import { WsListener } from '@radishbay/link/ws/wsListener.js';

import type { Instruments } from '../observe/instruments.js';
import { UpstreamKind, type SideSettings } from '../settings/settings.js';
import { HttpEngine } from '../upstream/httpEngine.js';

import { Daemon } from './daemon.js';
import { createIncarnation, createSeed } from './incarnation.js';
import { createStore } from './store.js';

const PART = 'side';

/** Runs one side process. */
export class SideDaemon extends Daemon {
  readonly #settings: SideSettings;

  readonly #instruments: Instruments;

  readonly #incarnation = createIncarnation();

  readonly #node: SideNode;

  readonly #listener: WsListener;

  #registrar: SideRegistrar | undefined;

  constructor(settings: SideSettings, instruments: Instruments) {
    super();
    this.#settings = settings;
    this.#instruments = instruments;
    const { links, upstream } = settings;
    const isPlain = upstream.kind === UpstreamKind.Plain;
    this.#node = new SideNode({
      board: new SideBoard(settings.name, this.#incarnation, settings.domain),
      engine: new HttpEngine({
        url: upstream.url,
        isModel: !isPlain,
        callTimeoutMs: upstream.callTimeoutMs,
      }),
      random: new Random(settings.seed ?? createSeed()),
      log: instruments.log,
      metrics: instruments.metrics,
      timing: settings.timing,
      linkToken: links.token,
      isPlain,
      engineOrderLimitMs: upstream.callTimeoutMs,
    });
    this.#listener = new WsListener({
      host: links.host,
      port: links.port,
      messageLimitBytes: links.messageLimitBytes,
      linkLimit: links.linkLimit,
      log: instruments.log,
      metrics: instruments.metrics,
      onLink: (link) => this.#node.attach(link),
    });
  }

  override async start(): Promise<Result<void, string>> {
    const port = await this.#listener.start();
    if (!port.ok) return Err(`cannot listen for links: ${port.val}`);
    this.#node.start();
    this.#register(port.val);
    this.#instruments.log.write(LogLevel.Info, PART, 'Side process is up.', {
      upstream: this.#settings.name,
      port: port.val,
    });
    return Ok(undefined);
  }

  override async stop(): Promise<void> {
    this.#registrar?.stop();
    await this.#node.stop();
    await this.#listener.stop();
  }

  /** Entries see the links of an ended process as lost, not as the end of a response. */
  override abort(): void {}

  /** Starts registering this process with the platform, if the settings name one. */
  #register(port: number): void {
    const { platform, links, name, domain, seed } = this.#settings;
    if (!platform) return;
    this.#registrar = new SideRegistrar({
      store: createStore(platform),
      random: new Random(seed ?? createSeed()),
      upstream: name,
      registration: {
        address: links.advertise ?? `${links.host}:${port}`,
        incarnation: this.#incarnation,
        domain,
      },
    });
    this.#registrar.start();
  }
}
