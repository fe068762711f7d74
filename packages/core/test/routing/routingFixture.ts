/** An entry's board with the upstreams of one pool, and its routing. */
import { MessageType, type MessageOf } from '../../src/messages/message.js';
import { Warmth, type CacheEvent, type SideReport } from '../../src/model/report.js';
import { CountingMetrics } from '../../src/ports/countingMetrics.js';
import { Random } from '../../src/ports/random.js';
import { ForecastRouting, type ForecastRoutingOptions } from '../../src/routing/forecastRouting.js';
import type { RoutingQuery } from '../../src/routing/routingPolicy.js';
import { countSent, applyReport } from '../../src/routing/upstreamState.js';
import { EntryBoard, SideLinkState, type UpstreamState } from '../../src/state/entryBoard.js';
import { FakeLink } from '../entry/fakeLink.js';

const LIMITS = { warmLimit: 16, coldLimit: 1, address: '127.0.0.1:7100' };

/** Creates the block hashes of a prompt, shortest prefix first. */
export function createBlocks(name: string, count: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => `${name}-${index}`);
}

export function createReport(upstream: string, changes: Partial<SideReport> = {}): SideReport {
  const load = { inFlight: 0, limit: 16, kvUsedShare: 0, queued: 0, tokensPerSecond: 0 };
  const times = { firstTokenMs: 50, serviceMs: 1_000, stepMs: 20 };
  const state = { warmth: Warmth.Warm, isLeaving: false, isDrained: false, models: [] };
  return { upstream, engineIncarnation: 'e1', ...load, ...times, ...state, ...changes };
}

function createQuery(changes: Partial<RoutingQuery>): RoutingQuery {
  return {
    pool: 'drafting',
    model: undefined,
    prefixHashes: [],
    excludedUpstreams: new Set(),
    avoidedDomains: new Set(),
    remainingMs: 10_000,
    isRepeatable: true,
    ...changes,
  };
}

function createChange(kind: string, value: { name: string; [field: string]: unknown }) {
  return { key: `config/${kind}/${value.name}`, version: 1, value };
}

/** An entry in zone-a with its board and its routing. */
export class RoutingFixture {
  readonly board = new EntryBoard('entry-1', 'i1', 'zone-a', 'main');

  readonly metrics = new CountingMetrics();

  readonly routing: ForecastRouting;

  nowMs = 0;

  /** @param domains failure domain of each upstream, by the upstream's name */
  constructor(
    domains: Readonly<Record<string, string>>,
    options: Partial<ForecastRoutingOptions> = {},
  ) {
    const { metrics } = this;
    this.routing = new ForecastRouting({ random: new Random(7), metrics, ...options });
    const names = [...new Set(Object.values(domains))];
    const changes = [
      ...names.map((name) => createChange('domain', { name })),
      ...Object.entries(domains).map(([name, domain]) =>
        createChange('upstream', { name, domain, pool: 'drafting', ...LIMITS }),
      ),
    ];
    this.board.config.apply(changes, 1, true);
    Object.entries(domains).forEach(([name, domain]) => this.#addUpstream(name, domain));
  }

  report(upstream: string, changes: Partial<SideReport> = {}): void {
    applyReport(this.getUpstream(upstream), createReport(upstream, changes), this.nowMs);
  }

  getUpstream(upstream: string): UpstreamState {
    const state = this.board.upstreams.get(upstream);
    if (!state) throw new Error(`no upstream ${upstream}`);
    return state;
  }

  addPeers(count: number): void {
    Array.from({ length: count }, (_, index) => `peer-${index}`).forEach((name) => {
      const times = { lastReceivedAtMs: 0, configRevision: 1 };
      this.board.peers.set(name, {
        name,
        address: '',
        incarnation: '',
        link: new FakeLink(),
        ...times,
      });
    });
  }

  choose(changes: Partial<RoutingQuery> = {}): string {
    const choice = this.routing.choose(this.board, createQuery(changes), this.nowMs);
    return choice.ok ? choice.val : choice.val.reason;
  }

  /** Chooses and counts the attempt as sent. */
  send(changes: Partial<RoutingQuery> = {}): string {
    const upstream = this.choose(changes);
    this.sendTo(upstream, changes);
    return upstream;
  }

  sendTo(upstream: string, changes: Partial<RoutingQuery> = {}): void {
    countSent(this.board, upstream);
    this.routing.markSent(this.board, upstream, createQuery(changes));
  }

  applyEvents(upstream: string, engineIncarnation: string, events: CacheEvent[]): void {
    const message = { type: MessageType.CacheEvents, upstream, engineIncarnation, events };
    this.routing.applyCacheEvents(message as MessageOf<MessageType.CacheEvents>);
  }

  #addUpstream(name: string, domain: string): void {
    this.board.upstreams.set(name, {
      name,
      pool: 'drafting',
      domain,
      address: LIMITS.address,
      linkState: SideLinkState.Open,
      link: new FakeLink(),
      sideIncarnation: 's1',
      tickMs: 0,
      lastReceivedAtMs: 0,
      configRevision: 1,
      isStopping: false,
      report: undefined,
      reportAtMs: 0,
      inFlight: 0,
      sentSinceReport: 0,
    });
    this.report(name);
  }
}
