/** A switch of a group from its initial map to a new one. */
import { surveyGroups } from '../../../src/direct/experts/groupSurvey.js';
import type { Placement } from '../../../src/direct/experts/mapSearch.js';
import type { RankCaller } from '../../../src/direct/experts/rankCaller.js';
import { BarrierSwitch, type SwitchResult } from '../../../src/direct/experts/barrierSwitch.js';
import type { FleetBoard } from '../../../src/direct/fleetBoard.js';
import type { TestClock } from '../directFixture.js';

const NEW_MAP: Placement = [
  [
    [0, 5],
    [1, 4],
    [2, 6],
    [3, 7],
  ],
];

export async function switchMap(
  caller: RankCaller,
  board: FleetBoard,
  version: number,
  entryIndex: number,
): Promise<SwitchResult | undefined> {
  const [survey] = await surveyGroups(caller, board.upstreams);
  if (!survey) return undefined;
  const mapSwitch = new BarrierSwitch({ caller, survey, entryIndex, entryCount: 2 });
  return mapSwitch.run(version, NEW_MAP);
}

/** Advances the clock until a promise resolves. */
export async function finish<T>(clock: TestClock, work: Promise<T>): Promise<T> {
  let result: { readonly value: T } | undefined;
  work.then((value) => {
    result = { value };
  });
  for (let step = 0; !result && step < 6_000; step += 1) {
    // eslint-disable-next-line no-await-in-loop -- the clock advances step by step
    await clock.tickAsync(10);
  }
  if (!result) throw new Error('the promise did not resolve within 60 s');
  return result.value;
}
