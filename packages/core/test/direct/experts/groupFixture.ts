/** A group of four ranks and an entry that can coordinate its maps, under a fake clock. */
import { MapCoordinator } from '../../../src/direct/experts/mapCoordinator.js';
import type { Placement } from '../../../src/direct/experts/mapSearch.js';
import type { RankCaller } from '../../../src/direct/experts/rankCaller.js';
import { FleetBoard } from '../../../src/direct/fleetBoard.js';
import { UpstreamRegistry } from '../../../src/direct/upstreamRegistry.js';
import { CountingMetrics } from '../../../src/ports/countingMetrics.js';
import { Random } from '../../../src/ports/random.js';
import { SilentLog } from '../../../src/ports/silentLog.js';
import { BOUNDS } from '../sampleBounds.js';

import { RankGroup } from './rankGroup.js';

export const SIZE = 4;

const PASS_MS = 60;

const INITIAL_MAP: Placement = [
  [
    [0, 4],
    [1, 5],
    [2, 6],
    [3, 7],
  ],
];

export function createBoard(name: string): FleetBoard {
  const board = new FleetBoard(name, 'zone-a', BOUNDS);
  const registry = new UpstreamRegistry(board, new SilentLog());
  Array.from({ length: SIZE }, (_, at) =>
    registry.put({
      id: `rank-${at}`,
      address: `10.0.0.${at}:80`,
      domain: 'zone-a',
      pool: 'models',
      slots: 8,
      isLeaving: false,
      startedAtUnixMs: 1,
      coldForMs: 0,
    }),
  );
  // The group has requests in flight; demand is rarely read without any.
  board.upstreams.forEach((upstream) => board.addInFlight(upstream, 1));
  return board;
}

export function createGroup(seed: number, passMs = PASS_MS): RankGroup {
  return new RankGroup({ size: SIZE, map: INITIAL_MAP, passMs, random: new Random(seed) });
}

export function createCoordinatorOn(board: FleetBoard, caller: RankCaller): MapCoordinator {
  return new MapCoordinator({
    board,
    pool: 'models',
    profile: { layers: 1, experts: 8, slotsPerRank: 2, spareExperts: 2 },
    caller,
    random: new Random(7),
    log: new SilentLog(),
    metrics: new CountingMetrics(),
    listEntries: () => ['entry-1', 'entry-2'],
  });
}

export function createCoordinator(
  name: string,
  caller: RankCaller,
): { board: FleetBoard; coordinator: MapCoordinator } {
  const board = createBoard(name);
  return { board, coordinator: createCoordinatorOn(board, caller) };
}
