/** Daemon for an entry that calls upstreams directly, without side processes. */
import http from 'node:http';
import v8 from 'node:v8';

import { DirectController } from '@radishbay/core/direct/directController.js';
import type { FleetBoard } from '@radishbay/core/direct/fleetBoard.js';
import type { LoadExchange } from '@radishbay/core/direct/loadExchange.js';
import { MemoryBudget } from '@radishbay/core/memory/memoryBudget.js';
import { computeMemorySizes } from '@radishbay/core/memory/memorySizes.js';
import { MemoryTelemetry } from '@radishbay/core/memory/memoryTelemetry.js';
import { Err, Ok, type Result } from '@radishbay/core/outcome.js';
import { LogLevel } from '@radishbay/core/ports/log.js';
import { Random } from '@radishbay/core/ports/random.js';

import { WsListener } from '@radishbay/link/ws/wsListener.js';
import { wait } from '@radishbay/core/wait.js';

import { CallerServer, type ServerLimits } from '../callers/callerServer.js';
import type { ConnectionLimits } from '../callers/connectionTable.js';
import type { Instruments } from '../observe/instruments.js';
import { Daemon } from '../roles/daemon.js';
import { createSeed } from '../roles/incarnation.js';

import { HttpUpstreamCaller } from './httpUpstreamCaller.js';
import { StreamingRequestHandler } from './streamingRequestHandler.js';
import type { WireCodec } from './wireCodec.js';

const PART = 'daemon';

/** Limits for callers until a configuration is loaded. */
const DEFAULT_LIMITS: ServerLimits = {
  headerBytes: 16 * 1024,
  bodyBytes: 4 * 1024 * 1024,
  headerTimeoutMs: 5_000,
  idleTimeoutMs: 15_000,
};

/** Fraction of the shutdown time limit after which requests still in flight are aborted. */
const STOP_FRACTION = 0.94;

/** Interval at which the requests in flight are checked during a graceful shutdown. */
const STOP_POLL_MS = 50;

/** Maximum number of links accepted from other entries. */
const PEER_LINK_LIMIT = 1_024;

/** Address on which a server listens. */
export interface Listener {
  readonly host: string;
  readonly port: number;
}

/** Bounds of what callers may hold. */
export type CallerBounds = Omit<ConnectionLimits, 'connections' | 'headBytes'>;

export interface DirectEntryOptions {
  readonly board: FleetBoard;
  readonly codec: WireCodec;
  readonly instruments: Instruments;
  readonly callers: Listener;
  readonly health: Listener;
  readonly peers: Listener & { readonly messageLimitBytes: number };
  readonly exchange: LoadExchange;
  /** Address and path of the metrics endpoint; undefined if metrics are not served. */
  readonly metrics: (Listener & { readonly path: string }) | undefined;
  readonly connectionLimit: number;
  /** Descriptors for connections of callers and to upstreams together. */
  readonly descriptorLimit: number;
  /** Memory of the VM for this process. */
  readonly memoryBytes: number;
  readonly callerBounds: CallerBounds;
  /** Time for the external balancer to notice a shutdown before new requests are restricted. */
  readonly noticeMs: number;
  /** Background tasks that follow the platform, started before the server for callers. */
  readonly backgroundTasks: readonly { readonly start: () => void; readonly stop: () => void }[];
}

/** Polls a condition until it is true or the deadline has passed. */
async function waitUntil(isDone: () => boolean, endAtMs: number): Promise<void> {
  if (isDone() || performance.now() >= endAtMs) return;
  await wait(STOP_POLL_MS);
  await waitUntil(isDone, endAtMs);
}

/** Starts a server; Err carries the reason why it cannot listen. */
function listen(server: http.Server, { host, port }: Listener): Promise<Result<void, string>> {
  return new Promise((resolve) => {
    server.once('error', (error) => resolve(Err(error.message)));
    server.listen(port, host, () => resolve(Ok(undefined)));
  });
}

/** Whether the entry reports itself ready to the balancer's health checks. */
export function isReady(board: FleetBoard): boolean {
  return board.table !== undefined && board.hasReadRegistry && !board.isStopping;
}

/** Runs one entry that calls upstreams directly. */
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
    const sizes = computeMemorySizes(options.memoryBytes, v8.getHeapStatistics().heap_size_limit);
    if (!sizes.isSufficient) {
      instruments.log.write(LogLevel.Warn, PART, 'The memory is too small for the heap.', {
        memoryBytes: options.memoryBytes,
      });
    }
    const budget = new MemoryBudget({
      limitBytes: sizes.limitBytes,
      getNowMs: () => performance.now(),
    });
    const telemetry = new MemoryTelemetry({ ...instruments, budget });
    this.#callers = new CallerServer({
      ...options.callers,
      getAvailableConnections: () => options.descriptorLimit - this.#upstreams.connectionCount,
      connectionLimits: { ...options.callerBounds, headBytes: sizes.headBytes },
      onChecked: ({ connectionCount, headBytes }) => telemetry.report(connectionCount, headBytes),
      connectionLimit: options.connectionLimit,
      metrics: instruments.metrics,
      getLimits: () => board.table?.limits ?? DEFAULT_LIMITS,
      getNowMs: () => performance.now(),
      requestHandler: new StreamingRequestHandler({
        codec,
        budget,
        accept: (request, caller) => this.#controller.accept(request, caller),
      }),
    });
    this.#health = http.createServer({ insecureHTTPParser: false }, (message, response) => {
      this.#serveHealth(message, response);
    });
    this.#peers = new WsListener({
      ...options.peers,
      linkLimit: PEER_LINK_LIMIT,
      log: instruments.log,
      metrics: instruments.metrics,
      onLink: (link) => options.exchange.attach(link),
    });
    this.#metrics = http.createServer({ insecureHTTPParser: false }, (message, response) => {
      this.#serveMetrics(message, response);
    });
  }

  override async start(): Promise<Result<void, string>> {
    const {
      callers,
      health,
      metrics,
      backgroundTasks: tasks,
      exchange,
      instruments,
    } = this.#options;
    tasks.forEach((task) => task.start());
    const peersStarted = await this.#peers.start();
    if (!peersStarted.ok) return Err(`cannot listen for peers: ${peersStarted.val}`);
    exchange.start();
    const healthStarted = await listen(this.#health, health);
    if (!healthStarted.ok) return Err(`cannot listen for health checks: ${healthStarted.val}`);
    const metricsStarted = metrics ? await listen(this.#metrics, metrics) : Ok(undefined);
    if (!metricsStarted.ok) {
      // The entry serves callers even without metrics, but the missing metrics are an error.
      instruments.log.write(LogLevel.Error, PART, 'Metrics server failed to start.', {
        why: metricsStarted.val,
      });
    }
    const callersStarted = await this.#callers.start();
    if (!callersStarted.ok) return Err(`cannot listen for callers: ${callersStarted.val}`);
    instruments.log.write(LogLevel.Info, PART, 'Entry is up.', { callersPort: callers.port });
    return Ok(undefined);
  }

  /**
   * Shuts down gracefully. Health checks fail first, while all requests are still served. Once the
   * balancer has had time for two health checks, only short requests are accepted until the last
   * stream has ended: a caller that still connects may have no other entry, as all entries may be
   * stopping. After that new requests are refused, and requests still in flight are aborted
   * shortly before the time limit.
   */
  override async stop(): Promise<void> {
    const { board, noticeMs, backgroundTasks: tasks, exchange } = this.#options;
    const endAtMs = performance.now() + board.bounds.stopLimitMs * STOP_FRACTION;
    board.isStopping = true;
    this.#callers.beginClose();
    await wait(noticeMs);
    this.#controller.acceptOnlyShortRequests(endAtMs);
    await waitUntil(() => this.#controller.streamCount === 0, endAtMs);
    this.#controller.refuseNewRequests();
    const stopped = this.#callers.stop();
    await waitUntil(() => this.#controller.inFlightCount === 0, endAtMs);
    this.#controller.abortAll();
    await Promise.race([stopped, wait(STOP_POLL_MS)]);
    tasks.forEach((task) => task.stop());
    exchange.stop();
    this.#upstreams.close();
    await this.#peers.stop();
    this.#health.close();
    this.#metrics.close();
  }

  override abort(): void {
    this.#callers.abort();
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
    response.end(text ?? 'not found\n');
  }
}
