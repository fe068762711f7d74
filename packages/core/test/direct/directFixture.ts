/** Test fixture: an entry that calls upstreams itself, with fake upstreams and a fake clock. */
import { install } from '@sinonjs/fake-timers';

import { DirectController } from '../../src/direct/directController.js';
import { FleetBoard } from '../../src/direct/fleetBoard.js';
import {
  RouteKind,
  RouteTable,
  type Route,
  type RouteTableContent,
} from '../../src/direct/routeTable.js';
import type { EngineCosts } from '../../src/direct/passModel.js';
import { UpstreamRegistry } from '../../src/direct/upstreamRegistry.js';
import { CountingMetrics } from '../../src/ports/countingMetrics.js';
import { Random } from '../../src/ports/random.js';
import { SilentLog } from '../../src/ports/silentLog.js';
import type { ForwardedRequest } from '../../src/ports/upstreamCaller.js';
import { FakeCaller } from '../entry/fakeCaller.js';

import type { FakeCall } from './fakeCall.js';
import { FakeUpstreams } from './fakeUpstreams.js';
import { InMemoryBody } from './inMemoryBody.js';
import { RecordingLog } from './recordingLog.js';
import { BOUNDS } from './sampleBounds.js';

export type TestClock = ReturnType<typeof install>;

/** Deadline that callers state with a first attempt, in milliseconds. */
export const DEADLINE_MS = 8_000;

export const BASE_ROUTE: Route = {
  name: 'stream',
  host: 'choir.example',
  pathPrefix: '/stream/',
  kind: RouteKind.Stream,
  timeoutMs: 8_000,
  targetMs: 400,
  pauseTargetMs: 120,
  patienceMs: 2_000,
  priority: 1,
  shares: [{ pool: 'models', weight: 1 }],
  attempts: 2,
  isPublic: false,
  isResumable: true,
};

/** Routes of each kind; the last two use a pool of plain services. */
export const CONTENT: RouteTableContent = {
  version: 7,
  routes: [
    BASE_ROUTE,
    {
      ...BASE_ROUTE,
      name: 'swap',
      pathPrefix: '/swap/',
      kind: RouteKind.Once,
      shares: [{ pool: 'exchange', weight: 1 }],
      timeoutMs: 1_200,
      patienceMs: 1_200,
      targetMs: 150,
      attempts: 1,
    },
    {
      ...BASE_ROUTE,
      name: 'catalogue',
      pathPrefix: '/catalogue/',
      kind: RouteKind.Repeatable,
      shares: [{ pool: 'exchange', weight: 1 }],
      timeoutMs: 1_200,
      patienceMs: 1_200,
      targetMs: 150,
    },
  ],
  pools: [
    { name: 'models', coldPerS: 26, engine: { slots: 8, group: undefined } },
    { name: 'exchange', coldPerS: 0, engine: undefined },
  ],
  workspaces: [{ name: 'parish', keys: ['parish-key'], priority: undefined }],
  limits: {
    headerBytes: 16_384,
    bodyBytes: 1_048_576,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
};

/** One entry with its fake upstreams. */
export class DirectFixture {
  readonly board: FleetBoard;

  readonly metrics = new CountingMetrics();

  /** Lines of the requests. */
  readonly log = new RecordingLog();

  readonly upstreams = new FakeUpstreams();

  readonly registry: UpstreamRegistry;

  readonly controller: DirectController;

  #lastId = 0;

  /**
   * @param costs configured costs of the engines of pool `models`
   * @param name name of the entry
   * @param content routes, pools and workspaces
   */
  constructor(seed = 1, costs?: EngineCosts, name = 'entry-1', content = CONTENT) {
    this.board = new FleetBoard(name, 'zone-a', BOUNDS);
    this.registry = new UpstreamRegistry(this.board, new SilentLog());
    this.controller = new DirectController({
      board: this.board,
      upstreams: this.upstreams,
      random: new Random(seed),
      log: this.log,
      metrics: this.metrics,
    });
    this.board.entryCount = 1;
    const pools = content.pools.map((pool) =>
      pool.engine && costs ? { ...pool, engine: { ...pool.engine, costs } } : pool,
    );
    this.board.replaceTable(new RouteTable({ ...content, pools }));
  }

  get calls(): readonly FakeCall[] {
    return this.upstreams.calls;
  }

  /** The latest call. */
  get lastCall(): FakeCall {
    const last = this.calls[this.calls.length - 1];
    if (!last) throw new Error('no call was made');
    return last;
  }

  addUpstreams(pool: string, count: number, slots = 8): void {
    Array.from({ length: count }, (_, at) =>
      this.registry.put({
        id: `${pool}-${at}`,
        address: `10.0.0.${at}:80`,
        domain: `zone-${'abc'[at % 3] ?? 'a'}`,
        pool,
        slots,
        isLeaving: false,
        startedAtUnixMs: 1,
        coldForMs: 0,
      }),
    );
  }

  /** Sends a request to a route and returns its caller. */
  sendRequest(route: string, fields: Partial<ForwardedRequest> = {}): FakeCaller {
    this.#lastId += 1;
    const caller = new FakeCaller();
    this.controller.accept(
      {
        id: `request-${this.#lastId}`,
        method: 'POST',
        path: `/${route}/2f`,
        host: 'choir.example',
        headers: {},
        body: new InMemoryBody(Buffer.from('{}')),
        sharedPromptParts: [],
        deadlineMs: DEADLINE_MS,
        workspaceKey: 'parish-key',
        arrivedAtMs: performance.now(),
        ...fields,
      },
      caller,
    );
    return caller;
  }
}

/** Runs a test body under a fake clock that the body advances. */
export async function withClock(body: (clock: TestClock) => Promise<void> | void): Promise<void> {
  const clock = install({ now: 1_000_000, toNotFake: ['nextTick', 'queueMicrotask'] });
  try {
    await body(clock);
  } finally {
    clock.uninstall();
  }
}
