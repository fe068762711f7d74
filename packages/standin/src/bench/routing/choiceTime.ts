/** Processor time of one choice of a routing policy. */
import { Warmth } from '@radishbay/core/model/report.js';
import type { RoutingPolicy, RoutingQuery } from '@radishbay/core/routing/routingPolicy.js';
import { applyReport } from '@radishbay/core/routing/upstreamState.js';

import type { EntryBoard } from '@radishbay/core/state/entryBoard.js';

import { BENCH_POOL, createBoard } from './benchBoard.js';

const SHARED_BLOCKS = 12;
const OWN_BLOCKS = 12;
const PROMPTS = 100;
const SENT = 2_000;
const WARM_UP_CHOICES = 5_000;
const CHOICES = 20_000;

/** Time between choices, and between reports. */
const GAP_MS = 5;
const REPORT_MS = 250;

const OTHER_ENTRIES = 7;

function createPrompt(index: number): readonly string[] {
  const shared = Array.from({ length: SHARED_BLOCKS }, (_, block) => `shared.${block}`);
  const own = Array.from({ length: OWN_BLOCKS }, (_, block) => `own.${index}.${block}`);
  return [...shared, ...own];
}

function createQuery(prompt: number): RoutingQuery {
  return {
    pool: BENCH_POOL,
    model: undefined,
    prefixHashes: createPrompt(prompt),
    excludedUpstreams: new Set(),
    avoidedDomains: new Set(),
    remainingMs: 10_000,
    isRepeatable: true,
  };
}

function noteReports(board: EntryBoard, nowMs: number): void {
  board.upstreams.forEach((upstream) => Object.assign(upstream, { reportAtMs: nowMs }));
}

/**
 * Measures the mean processor time of a choice.
 *
 * @returns microseconds
 */
export function measureChoiceUs(routing: RoutingPolicy, candidates: number): number {
  const names = Array.from({ length: candidates }, (_, index) => `worker-${index}`);
  const upstreams = names.map((name, index) => ({ name, domain: `zone-${index % 3}` }));
  const board = createBoard('zone-0', upstreams, OTHER_ENTRIES);
  [...board.upstreams.values()].forEach((upstream, index) => {
    const load = { inFlight: index % 7, limit: 64, kvUsedShare: 0, queued: 0, tokensPerSecond: 0 };
    const times = { firstTokenMs: 50, serviceMs: 1_000, stepMs: 20 + (index % 5) };
    const state = { warmth: Warmth.Warm, isLeaving: false, isDrained: false, models: [] };
    const report = {
      upstream: upstream.name,
      engineIncarnation: 'e1',
      ...load,
      ...times,
      ...state,
    };
    applyReport(upstream, report, 0);
  });
  const queries = Array.from({ length: PROMPTS }, (_, index) => createQuery(index));
  const readQuery = (index: number) => queries[index % PROMPTS] as RoutingQuery;
  Array.from({ length: SENT }, (_, index) => index).forEach((index) => {
    routing.markSent(board, names[index % candidates] ?? '', readQuery(index));
  });
  let nowMs = 0;
  const choose = (count: number) => {
    for (let index = 0; index < count; index += 1) {
      nowMs += GAP_MS;
      if (nowMs % REPORT_MS === 0) noteReports(board, nowMs);
      routing.choose(board, readQuery(index), nowMs);
    }
  };
  choose(WARM_UP_CHOICES);
  const before = process.cpuUsage();
  choose(CHOICES);
  const { user, system } = process.cpuUsage(before);
  return (user + system) / CHOICES;
}
