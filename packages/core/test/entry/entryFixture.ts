/** A configured entry with fake callers, and fake links to fake side processes. */
import { createHash } from 'node:crypto';

import { RequestController } from '../../src/entry/requestController.js';
import { QueueAdmission } from '../../src/limits/queueAdmission.js';
import { MessageType, type Message } from '../../src/messages/message.js';
import { Warmth, type SideReport } from '../../src/model/report.js';
import type { CallerRequest } from '../../src/model/request.js';
import { DEFAULT_TIMING } from '../../src/model/timing.js';
import { Random } from '../../src/ports/random.js';
import { LeastLoadedRouting } from '../../src/routing/leastLoadedRouting.js';
import { EntryBoard, SideLinkState } from '../../src/state/entryBoard.js';

import { FakeCaller } from './fakeCaller.js';
import { FakeLink } from './fakeLink.js';
import { FakeSide } from './fakeSide.js';
import { FakeStore } from './fakeStore.js';

export const KEY = 'key-of-choir';

/** Name and failure domain of each upstream of the fixture. */
const UPSTREAMS: readonly (readonly [string, string])[] = [
  ['worker-a', 'zone-a'],
  ['worker-b', 'zone-b'],
];

function createConfig(): readonly (readonly [string, object])[] {
  const keySha256 = createHash('sha256').update(KEY).digest('hex');
  const workspace = { name: 'choir', keySha256, requestsPerSecond: 1000, burst: 1000 };
  const draft = { name: 'draft', pool: 'drafting', pathPrefix: '/v1/', isRepeatable: true };
  const swap = { name: 'swap', pool: 'drafting', pathPrefix: '/v1/swaps', isRepeatable: false };
  const limits = { pool: 'drafting', warmLimit: 8, coldLimit: 1, address: '127.0.0.1:7100' };
  return [
    ['pool', { name: 'drafting', kind: 'model', queueLimit: 50 }],
    ['workspace', workspace],
    ['class', { ...draft, deadlineMs: 20_000, progressTimeoutMs: 4000 }],
    ['class', { ...swap, deadlineMs: 20_000, progressTimeoutMs: 4000 }],
    ...UPSTREAMS.map(([, domain]) => ['domain', { name: domain }] as const),
    ...UPSTREAMS.map(([name, domain]) => ['upstream', { name, domain, ...limits }] as const),
  ];
}

/** Report of a warm, idle upstream. */
export function createReport(upstream: string, changes: Partial<SideReport> = {}): SideReport {
  const load = { inFlight: 0, limit: 8, kvUsedShare: 0, queued: 0, tokensPerSecond: 0 };
  const times = { firstTokenMs: 0, serviceMs: 0, stepMs: 0 };
  const state = { warmth: Warmth.Warm, isLeaving: false, isDrained: false, models: [] };
  return { upstream, engineIncarnation: 'e1', ...load, ...times, ...state, ...changes };
}

/** One entry and two upstreams in two failure domains. */
export class EntryFixture {
  readonly board: EntryBoard;

  readonly store: FakeStore;

  readonly counts = new Map<string, number>();

  readonly admission = new QueueAdmission();

  readonly controller: RequestController;

  readonly sides: ReadonlyMap<string, FakeSide>;

  readonly links = new Map<string, FakeLink>();

  #requests = 0;

  constructor(
    name = 'entry-1',
    store = new FakeStore(),
    sides = new Map(UPSTREAMS.map(([upstream]) => [upstream, new FakeSide(upstream)])),
  ) {
    this.store = store;
    this.sides = sides;
    this.board = new EntryBoard(name, 'i1', 'zone-a', 'main');
    this.board.isCurrent = true;
    this.applyConfig(createConfig());
    const count = (counter: string, tags?: Readonly<Record<string, string>>) => {
      const key = tags ? `${counter} ${Object.values(tags).join(' ')}` : counter;
      this.counts.set(key, (this.counts.get(key) ?? 0) + 1);
    };
    const random = new Random(1);
    const log = { write: () => undefined };
    const metrics = { count, gauge: () => undefined, timing: () => undefined };
    this.controller = new RequestController({
      board: this.board,
      store: this.store,
      routing: new LeastLoadedRouting(random),
      admission: this.admission,
      random,
      log,
      metrics,
      timing: DEFAULT_TIMING,
    });
    UPSTREAMS.forEach(([upstream, domain]) => this.#addUpstream(upstream, domain));
  }

  applyConfig(objects: readonly (readonly [string, object])[]): void {
    const version = this.board.config.revision + 1;
    const changes = objects.map(([kind, value]) => {
      const { name } = value as { name: string };
      return { key: `config/${kind}/${name}`, version, value };
    });
    this.board.config.apply(changes, version, false);
  }

  /** Opens a new link to the current incarnation of a side process. */
  openLink(name: string): void {
    const upstream = this.board.upstreams.get(name);
    const side = this.sides.get(name);
    if (!upstream || !side) return;
    const link = new FakeLink();
    this.links.set(name, link);
    Object.assign(upstream, { link, linkState: SideLinkState.Open });
    upstream.sideIncarnation = side.incarnation;
    this.controller.onSideOpen(name);
  }

  /** Cuts a link. Messages that have not been delivered are lost. */
  cutLink(name: string): void {
    const upstream = this.board.upstreams.get(name);
    if (!upstream?.link) return;
    this.links.get(name)?.close();
    this.links.delete(name);
    Object.assign(upstream, { link: undefined, linkState: SideLinkState.Lost });
    this.controller.onSideLost(name);
  }

  /** Kills the entry: its links close and it receives nothing more. */
  kill(): void {
    this.links.forEach((link) => link.close());
    this.links.clear();
  }

  report(name: string, changes: Partial<SideReport> = {}): void {
    const report = createReport(name, changes);
    const message = { type: MessageType.Report, report: { ...report, models: [...report.models] } };
    this.controller.onSideMessage(name, message as Message);
  }

  /** Sends a request whose default body names the entry and numbers the request. */
  request(changes: Partial<CallerRequest> = {}, caller = new FakeCaller()): FakeCaller {
    this.#requests += 1;
    const request: CallerRequest = {
      id: String(this.#requests),
      method: 'POST',
      path: '/v1/completions',
      headers: {},
      body: new TextEncoder().encode(`${this.board.name}/${this.#requests}`),
      workspaceKey: KEY,
      className: undefined,
      deadlineMs: undefined,
      idempotencyKey: undefined,
      model: undefined,
      isStream: false,
      prefixHashes: [],
      arrivedAtMs: Date.now(),
      ...changes,
    };
    this.controller.accept(request, caller);
    return caller;
  }

  /** Removes and returns the undelivered messages of a link towards the side process. */
  takeOutbox(name: string): Message[] {
    return this.links.get(name)?.outbox.splice(0) ?? [];
  }

  /** Delivers the messages of all links and their replies until none is left. */
  deliver(): void {
    [...this.links.keys()].forEach((name) => {
      const replies = this.takeOutbox(name).flatMap((message) =>
        this.#receiveAtSide(name, message),
      );
      this.receive(name, replies);
    });
    if ([...this.links.values()].some((link) => link.outbox.length > 0)) this.deliver();
  }

  /** Delivers messages of a side process to the entry. */
  receive(name: string, messages: readonly Message[]): void {
    messages.forEach((message) => this.controller.onSideMessage(name, message));
  }

  /** Lets all running attempts of this entry answer, and delivers the answers. */
  finishAll(): void {
    this.sides.forEach((side, name) => this.receive(name, side.finish(this.board.name)));
  }

  /** Name of the upstream with an undelivered submission; empty if there is none. */
  get target(): string {
    const found = [...this.links].find(([, link]) =>
      link.outbox.some((message) => message.type === MessageType.Submit),
    );
    return found?.[0] ?? '';
  }

  /** Number of this entry's attempts that run at an upstream. */
  countRunning(name: string): number {
    return this.sides.get(name)?.listRunning(this.board.name).length ?? 0;
  }

  /** Number of executions of a request body, over all upstreams. */
  countExecutions(body: string): number {
    const executions = [...this.sides.values()].flatMap((side) => side.executions);
    return executions.filter((execution) => execution.body === body).length;
  }

  #receiveAtSide(name: string, message: Message): Message[] {
    return this.sides.get(name)?.receive(message, this.board.name) ?? [];
  }

  #addUpstream(name: string, domain: string): void {
    this.board.upstreams.set(name, {
      name,
      pool: 'drafting',
      domain,
      address: '127.0.0.1:7100',
      linkState: SideLinkState.Connecting,
      link: undefined,
      sideIncarnation: '',
      tickMs: 1,
      lastReceivedAtMs: 0,
      configRevision: 0,
      isStopping: false,
      report: undefined,
      reportAtMs: 0,
      inFlight: 0,
      sentSinceReport: 0,
    });
    this.openLink(name);
    this.report(name);
  }
}
