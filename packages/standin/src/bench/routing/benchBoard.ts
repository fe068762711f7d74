/** Boards of entries that know a set of upstreams and each other. */
import { EntryBoard, SideLinkState } from '@radishbay/core/state/entryBoard.js';

import { BenchLink } from './benchLink.js';

export const BENCH_POOL = 'drafting';

const ADDRESS = '127.0.0.1:7100';

/** What a board has to know of an upstream. */
export interface BoardUpstream {
  readonly name: string;
  readonly domain: string;
}

function createConfig(upstreams: readonly BoardUpstream[]) {
  const domains = [...new Set(upstreams.map(({ domain }) => domain))];
  const limits = { pool: BENCH_POOL, address: ADDRESS, warmLimit: 1, coldLimit: 1 };
  const objects = [
    ...domains.map((name) => ['domain', name, { name }] as const),
    ...upstreams.map(
      ({ name, domain }) => ['upstream', name, { name, domain, ...limits }] as const,
    ),
  ];
  return objects.map(([kind, name, value]) => ({
    key: `config/${kind}/${name}`,
    version: 1,
    value,
  }));
}

/** Creates the board of one entry. */
export function createBoard(
  domain: string,
  upstreams: readonly BoardUpstream[],
  otherEntries: number,
): EntryBoard {
  const board = new EntryBoard('entry', 'i1', domain, 'main');
  board.config.apply(createConfig(upstreams), 1, true);
  upstreams.forEach((upstream) => {
    board.upstreams.set(upstream.name, {
      ...upstream,
      pool: BENCH_POOL,
      address: ADDRESS,
      linkState: SideLinkState.Open,
      link: new BenchLink(),
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
  });
  Array.from({ length: otherEntries }, (_, index) => `peer-${index}`).forEach((name) => {
    board.peers.set(name, {
      name,
      address: ADDRESS,
      incarnation: 'i1',
      link: new BenchLink(),
      lastReceivedAtMs: 0,
      configRevision: 1,
    });
  });
  return board;
}
