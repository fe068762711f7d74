/** A daemon in the role of an entry that calls upstreams itself. */
import http from 'node:http';

import { DirectController } from '@radishbay/core/direct/directController.js';
import type { FleetBoard } from '@radishbay/core/direct/fleetBoard.js';
import type { LoadExchange } from '@radishbay/core/direct/loadExchange.js';
import { Err, Ok, type Result } from '@radishbay/core/outcome.js';
import { LogLevel } from '@radishbay/core/ports/log.js';
import { Random } from '@radishbay/core/ports/random.js';

import { WsListener } from '@radishbay/link/ws/wsListener.js';
import { wait } from '@radishbay/core/wait.js';

import { CallerServer, type ServerLimits } from '../callers/callerServer.js';
import type { Instruments } from '../observe/instruments.js';
import { Daemon } from '../roles/daemon.js';
import { createSeed } from '../roles/incarnation.js';

import { HttpUpstreamCaller } from './httpUpstreamCaller.js';
import { StreamingRequestHandler } from './streamingRequestHandler.js';
import type { WireCodec } from './wireCodec.js';

const PART = 'daemon';

/** Limits of callers until a configuration names others. */
const DEFAULT_LIMITS: ServerLimits = {
  headerBytes: 16 * 1024,
  bodyBytes: 4 * 1024 * 1024,
  headerTimeoutMs: 5_000,
  idleTimeoutMs: 15_000,
};

/** Part of a planned stop's time after which what is still in progress is broken off. */
const STOP_FRACTION = 0.94;

/** Time between two looks at the requests in progress of a planned stop. */
const STOP_POLL_MS = 50;

/** Links of other entries that are accepted. */
const PEER_LINK_LIMIT = 1_024;

export interface Listener {
  readonly host: string;
  readonly port: number;
}

export interface DirectEntryOptions {
  readonly board: FleetBoard;
  readonly codec: WireCodec;
  readonly instruments: Instruments;
  readonly callers: Listener;
  readonly health: Listener;
  readonly peers: Listener & { readonly messageLimitBytes: number };
  readonly exchange: LoadExchange;
  /** Address of the metrics, with their path; undefined where they are not served. */
  readonly metrics: (Listener & { readonly path: string }) | undefined;
  readonly connectionLimit: number;
  /** Time for the balancer to see a planned stop before new requests are refused. */
  readonly noticeMs: number;
  /** Followers of the platform, started before callers are let in. */
  readonly sources: readonly { readonly start: () => void; readonly stop: () => void }[];
}

/** Waits until something holds, at most until a time. */
async function waitUntil(isDone: () => boolean, endAtMs: number): Promise<void> {
  if (isDone() || performance.now() >= endAtMs) return;
  await wait(STOP_POLL_MS);
  await waitUntil(isDone, endAtMs);
}

function listen(server: http.Server, { host, port }: Listener): Promise<Result<void, string>> {
  return new Promise((resolve) => {
    server.once('error', (error) => resolve(Err(error.message)));
    server.listen(port, host, () => resolve(Ok(undefined)));
  });
}

/** Whether the balancer may send callers to an entry. */
export function isReady(board: FleetBoard): boolean {
  return board.table !== undefined && board.hasUpstreams && !board.isStopping;
}

/** One entry that calls upstreams itself. */
export class DirectEntryDaemon extends Daemon {
  readonly #options: DirectEntryOptions;

  readonly #controller: DirectController;

  readonly #upstreams: HttpUpstreamCaller;

  readonly #callers: CallerServer;

  readonly #health: http.Server;

  readonly #metrics: http.Server;

  readonly #peers: WsListener;

  constructor(options: DirectEntryOptions) {
    super();
    this.#options = options;
    const { board, codec, instruments } = options;
    this.#upstreams = new HttpUpstreamCaller(codec);
    this.#controller = new DirectController({
      board,
      upstreams: this.#upstreams,
      random: new Random(createSeed()),
      log: instruments.log,
      metrics: instruments.metrics,
    });
    this.#callers = new CallerServer({
      ...options.callers,
      connectionLimit: options.connectionLimit,
      metrics: instruments.metrics,
      getLimits: () => board.table?.limits ?? DEFAULT_LIMITS,
      getNowMs: () => performance.now(),
      requestHandler: new StreamingRequestHandler({
        codec,
        accept: (request, caller) => this.#controller.accept(request, caller),
      }),
    });
    this.#health = http.createServer((message, response) => this.#serveHealth(message, response));
    this.#peers = new WsListener({
      ...options.peers,
      linkLimit: PEER_LINK_LIMIT,
      metrics: instruments.metrics,
      onLink: (link) => options.exchange.attach(link),
    });
    this.#metrics = http.createServer((message, response) => {
      this.#serveMetrics(message, response);
    });
  }

  override async start(): Promise<Result<void, string>> {
    const { callers, health, metrics, sources, exchange, instruments } = this.#options;
    sources.forEach((source) => source.start());
    const peersUp = await this.#peers.start();
    if (!peersUp.ok) return Err(`peers: ${peersUp.val}`);
    exchange.start();
    const healthUp = await listen(this.#health, health);
    if (!healthUp.ok) return Err(`health: ${healthUp.val}`);
    const metricsUp = metrics ? await listen(this.#metrics, metrics) : Ok(undefined);
    if (!metricsUp.ok) {
      // Callers are served all the same; that nobody sees how is an error of its own.
      instruments.log.write(LogLevel.Error, PART, 'Metrics are not served.', {
        why: metricsUp.val,
      });
    }
    const callersUp = await this.#callers.start();
    if (!callersUp.ok) return Err(`callers: ${callersUp.val}`);
    instruments.log.write(LogLevel.Info, PART, 'Entry is up.', { callersPort: callers.port });
    return Ok(undefined);
  }

  /**
   * The balancer is told first, and requests that still come meanwhile are served. When it has had
   * time to look twice, only short ones are taken, until the last stream has ended: whoever still
   * comes has no other entry, as all of them may be stopping.
   */
  override async stop(): Promise<void> {
    const { board, noticeMs, sources, exchange } = this.#options;
    const endAtMs = performance.now() + board.bounds.stopLimitMs * STOP_FRACTION;
    board.isStopping = true;
    this.#callers.beginClose();
    await wait(noticeMs);
    this.#controller.takeShortOnly(endAtMs);
    await waitUntil(() => this.#controller.streamCount === 0, endAtMs);
    this.#controller.refuseNew();
    const stopped = this.#callers.stop();
    await waitUntil(() => this.#controller.inFlightCount === 0, endAtMs);
    this.#controller.breakOff();
    await Promise.race([stopped, wait(STOP_POLL_MS)]);
    sources.forEach((source) => source.stop());
    exchange.stop();
    this.#upstreams.close();
    await this.#peers.stop();
    this.#health.close();
    this.#metrics.close();
  }

  #serveHealth(message: http.IncomingMessage, response: http.ServerResponse): void {
    message.resume();
    const isOk = isReady(this.#options.board);
    response.writeHead(isOk ? 200 : 503, { 'content-type': 'text/plain' });
    response.end(isOk ? 'ready\n' : 'not ready\n');
  }

  async #serveMetrics(message: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    message.resume();
    const { metrics, instruments } = this.#options;
    const text = message.url === metrics?.path ? await instruments.readMetrics?.() : undefined;
    response.writeHead(text === undefined ? 404 : 200, { 'content-type': 'text/plain' });
    response.end(text ?? 'nothing is served here\n');
  }
}
