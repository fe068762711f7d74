/** The upstreams of a soak: stand-ins behind relays; the ranks of one group form a pool. */
import { RankGroup } from '@radishbay/core/test/direct/experts/rankGroup.js';
import type { UpstreamEntry } from '@radishbay/core/direct/directUpstream.js';
import { Random } from '@radishbay/core/ports/random.js';
import { RankStandin } from '@radishbay/fleet-platform/standin/rankStandin.js';
import {
  WorkerStandin,
  type ReceivedRequest,
} from '@radishbay/fleet-platform/standin/workerStandin.js';
import { TcpRelay } from '@radishbay/standin/fleet/tcpRelay.js';

import type { ObservedExecution } from '../record/observation.js';
import type { SoakRecord } from '../record/soakRecord.js';

export const MODELS = 'models';

export const EXCHANGE = 'exchange';

export const DOMAINS = ['zone-a', 'zone-b', 'zone-c'];

/** Events of a complete stream, and the time between two of them: one pass of the group. */
export const EVENT_COUNT = 10;
const PASS_MS = 50;

/** Time that a plain response takes; long enough for faults to hit some in progress. */
const PLAIN_RESPONSE_MS = 120;

const RANKS = 6;

const EXCHANGE_COUNT = 3;

/** Layers and experts of the group, as in the configuration of the soak. */
const LAYERS = 2;
const EXPERTS = 12;

/** How many times more often a hot expert is chosen than another one. */
const HOT_EXPERT_WEIGHT = 8;

/** An upstream and the relay through which entries reach it. */
export interface SoakUpstream {
  readonly worker: WorkerStandin;
  readonly link: TcpRelay;
  readonly pool: string;
  readonly domain: string;
  linkPort: number;
}

function createInitialExpertMap() {
  const layer = Array.from({ length: RANKS }, (_, rank) =>
    Array.from({ length: EXPERTS / RANKS }, (_unused, at) => rank + at * RANKS),
  );
  return Array.from({ length: LAYERS }, () => layer);
}

function createRankUpstream(id: string, domain: string): UpstreamEntry {
  return {
    id,
    address: '',
    domain,
    pool: MODELS,
    slots: 8,
    isLeaving: false,
    startedAtUnixMs: 0,
    coldForMs: 0,
  };
}

/** All upstreams of one run. */
export class Upstreams {
  readonly group: RankGroup;

  readonly #record: SoakRecord;

  readonly #random: Random;

  readonly all: SoakUpstream[] = [];

  #runningCount = 0;

  /** First of the two experts with the highest demand. */
  hotExpert = 0;

  constructor(record: SoakRecord, seed: number) {
    this.#record = record;
    this.#random = new Random(seed);
    const map = createInitialExpertMap();
    this.group = new RankGroup({ size: RANKS, map, passMs: PASS_MS, random: this.#random });
  }

  async start(): Promise<void> {
    const ranks = Array.from({ length: RANKS }, (_, at) => this.#create(MODELS, `rank-${at}`, at));
    const exchange = Array.from({ length: EXCHANGE_COUNT }, (_, at) =>
      this.#create(EXCHANGE, `exchange-${at}`, at),
    );
    this.all.push(...(await Promise.all([...ranks, ...exchange])));
  }

  async stop(): Promise<void> {
    this.group.stop();
    await Promise.all(this.all.flatMap(({ worker, link }) => [worker.stop(), link.stop()]));
  }

  async #create(pool: string, id: string, at: number): Promise<SoakUpstream> {
    const domain = DOMAINS[at % DOMAINS.length] ?? '';
    const isRank = pool === MODELS;
    const worker = new WorkerStandin(id, {
      eventCount: EVENT_COUNT,
      eventGapMs: PASS_MS,
      workMs: PLAIN_RESPONSE_MS,
      describe: ({ id: requestId }) => requestId,
      onRun: (request) => this.#recordExecution(request, { upstream: id, pool, domain }),
      onEnd: (request, isEarly) => this.#recordExecutionEnd(request, isEarly),
      rank: isRank ? new RankStandin(this.group, createRankUpstream(id, domain)) : undefined,
    });
    await worker.start();
    const link = new TcpRelay('127.0.0.1', worker.port);
    return { worker, link, pool, domain, linkPort: await link.start() };
  }

  #recordExecution(
    { id, path, body, workspace, lastEventId }: ReceivedRequest,
    location: Pick<ObservedExecution, 'upstream' | 'pool' | 'domain'>,
  ): void {
    if (location.pool === MODELS) this.#addExpertDemand();
    const atMs = performance.now();
    this.#record.recordExecution({ id, path, body, workspace, lastEventId, atMs, ...location });
  }

  #recordExecutionEnd({ id, path }: ReceivedRequest, isEarly: boolean): void {
    if (path.startsWith('/stream')) this.#updateRunningCount(-1);
    this.#record.recordExecutionEnd(id, isEarly);
  }

  /** Adds the expert choices of a new stream to the counts of the group, hot experts weighted. */
  #addExpertDemand(): void {
    this.#updateRunningCount(1);
    const { counts } = this.group;
    counts.forEach((count, at) => {
      const distance = ((at % EXPERTS) - this.hotExpert + EXPERTS) % EXPERTS;
      counts[at] = count + (distance < 2 ? HOT_EXPERT_WEIGHT : 1) * EVENT_COUNT;
    });
  }

  /** Updates the number of running streams; an idle group makes no passes. */
  #updateRunningCount(change: 1 | -1): void {
    this.#runningCount += change;
    this.group.isBusy = this.#runningCount > 0;
  }
}
