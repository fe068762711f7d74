/** Daemon in the entry role: servers for callers and operators, links to sides and peers. */
import { EntryNode } from '@radishbay/core/entry/entryNode.js';
import { LogLevel } from '@radishbay/core/ports/log.js';
import { Random } from '@radishbay/core/ports/random.js';
import { EntryBoard } from '@radishbay/core/state/entryBoard.js';
import { Err, Ok, type Result } from '@radishbay/core/outcome.js';
import { WsDialer } from '@radishbay/link/ws/wsDialer.js';
import { WsListener } from '@radishbay/link/ws/wsListener.js';
import { wait } from '@radishbay/core/wait.js';

import { CallerServer, type ServerLimits } from '../callers/callerServer.js';
import { createRequestParser } from '../callers/requestParser.js';
import { BufferingRequestHandler } from '../callers/bufferingRequestHandler.js';
import type { Instruments } from '../observe/instruments.js';
import { OperatorServer } from '../operators/operatorServer.js';
import type { EntrySettings } from '../settings/settings.js';

import { Daemon } from './daemon.js';
import { createIncarnation, createSeed } from './incarnation.js';
import { createStore } from './store.js';

const PART = 'entry';

/** Timeout for receiving the headers of a request. */
const HEADER_TIMEOUT_MS = 15_000;

/** Keep-alive timeout of callers' connections; Node's default. */
const IDLE_TIMEOUT_MS = 5_000;

function createServerLimits(callers: EntrySettings['callers']): ServerLimits {
  return {
    headerBytes: callers.headerLimitBytes,
    bodyBytes: callers.bodyLimitBytes,
    headerTimeoutMs: HEADER_TIMEOUT_MS,
    idleTimeoutMs: IDLE_TIMEOUT_MS,
  };
}

/** Runs one entry. */
export class EntryDaemon extends Daemon {
  readonly #settings: EntrySettings;

  readonly #instruments: Instruments;

  readonly #node: EntryNode;

  readonly #callers: CallerServer;

  readonly #operators: OperatorServer;

  readonly #listener: WsListener;

  constructor(settings: EntrySettings, instruments: Instruments) {
    super();
    this.#settings = settings;
    this.#instruments = instruments;
    const { log, metrics } = instruments;
    this.#node = new EntryNode({
      board: new EntryBoard(settings.name, createIncarnation(), settings.domain, settings.region),
      store: createStore(settings.platform),
      dialer: new WsDialer(instruments, settings.links.messageLimitBytes),
      random: new Random(settings.seed ?? createSeed()),
      log,
      metrics,
      timing: settings.timing,
      linkToken: settings.links.token,
      address: settings.links.advertise ?? `${settings.links.host}:${settings.links.port}`,
      seedAddresses: settings.links.peers,
    });
    const limits = createServerLimits(settings.callers);
    this.#callers = new CallerServer({
      ...settings.callers,
      metrics,
      getLimits: () => limits,
      getNowMs: () => Date.now(),
      requestHandler: new BufferingRequestHandler({
        parse: createRequestParser(),
        accept: (request, caller) => this.#node.accept(request, caller),
      }),
      isReady: () => this.#node.isReady(),
    });
    this.#operators = new OperatorServer({ ...settings.operators, metrics, backend: this.#node });
    this.#listener = new WsListener({
      host: settings.links.host,
      port: settings.links.port,
      messageLimitBytes: settings.links.messageLimitBytes,
      linkLimit: settings.links.linkLimit,
      log,
      metrics,
      onLink: (link) => this.#node.attachPeer(link),
    });
  }

  override async start(): Promise<Result<void, string>> {
    const links = await this.#listener.start();
    if (!links.ok) return Err(`cannot listen for links: ${links.val}`);
    const operators = await this.#operators.start();
    if (!operators.ok) return Err(`cannot listen for operators: ${operators.val}`);
    this.#node.start();
    const callers = await this.#callers.start();
    if (!callers.ok) return Err(`cannot listen for callers: ${callers.val}`);
    this.#instruments.log.write(LogLevel.Info, PART, 'Entry is up.', {
      callersPort: callers.val,
      operatorsPort: operators.val,
      linksPort: links.val,
    });
    return Ok(undefined);
  }

  /**
   * Shuts down gracefully. Health checks fail first; requests are still served until the balancer
   * has had time to notice.
   */
  override async stop(): Promise<void> {
    this.#node.beginStop();
    this.#callers.beginClose();
    await wait(this.#settings.stop.noticeMs);
    await Promise.all([this.#node.drain(), this.#callers.stop()]);
    await this.#operators.stop();
    await this.#node.leave();
    await this.#listener.stop();
  }

  override abort(): void {
    this.#callers.abort();
  }
}
