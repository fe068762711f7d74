/** Searches a better expert map for all layers, in slices that do not hold the event loop up. */
import type { Random } from '../../ports/random.js';
import type { GroupProfile } from '../routeTable.js';
import { wait } from '../../wait.js';

import { LayerSearch } from './layerSearch.js';

/** Experts by layer, then rank. */
export type Placement = readonly (readonly (readonly number[])[])[];

/** Longest time that the search holds the event loop up. */
const SLICE_MAX_MS = 3;

/** Moves between two looks at the clock. */
const MOVES_PER_CLOCK_CHECK = 16;

/** Part of the time that the search takes while requests are served. */
const PAUSE_MS = 6;

/** Longest time that one search takes; what it has found by then is used. */
const SEARCH_MAX_MS = 700;

export interface MapSearchInput {
  readonly profile: GroupProfile;
  /** The map in force. */
  readonly placement: Placement;
  /** Choices by layer and expert, for each sample. */
  readonly samples: readonly Float64Array[];
  /** Time that each rank takes for its work against a sound one. */
  readonly paces: readonly number[];
  readonly random: Random;
}

/** A map that was found, with its mean load of the most loaded rank against the mean. */
export interface FoundMap {
  readonly placement: Placement;
  readonly skewBefore: number;
  readonly skewAfter: number;
  /** Experts that ranks have to copy. */
  readonly copies: number;
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}

function createSearches(input: MapSearchInput): readonly LayerSearch[] {
  const { profile, placement, samples, paces, random } = input;
  const { experts, slotsPerRank, spareExperts } = profile;
  return placement.map((ranks, layer) => {
    const firstIndex = layer * experts;
    return new LayerSearch({
      placement: ranks,
      experts,
      slotsPerRank,
      copiesPerRankMax: spareExperts,
      samples: samples.map((sample) => sample.subarray(firstIndex, firstIndex + experts)),
      paces,
      random,
    });
  });
}

/** Searches one layer until a time; @returns whether it is done. */
function searchSlice(search: LayerSearch, untilMs: number): boolean {
  while (!search.isDone && performance.now() < untilMs) {
    for (let move = 0; move < MOVES_PER_CLOCK_CHECK && !search.isDone; move += 1) search.step();
  }
  return search.isDone;
}

/** Searches all layers in turn. */
export async function searchMap(input: MapSearchInput): Promise<FoundMap> {
  const searches = createSearches(input);
  const skewBefore = mean(searches.map(({ skew }) => skew));
  const endAtMs = performance.now() + SEARCH_MAX_MS;
  let unfinished = [...searches];
  while (unfinished.length > 0 && performance.now() < endAtMs) {
    const sliceEndMs = performance.now() + SLICE_MAX_MS;
    const [search] = unfinished;
    if (search && searchSlice(search, sliceEndMs)) unfinished = unfinished.slice(1);
    else unfinished = [...unfinished.slice(1), ...unfinished.slice(0, 1)];
    // The search shares the thread with the requests.
    // eslint-disable-next-line no-await-in-loop -- see above
    await wait(PAUSE_MS);
  }
  return {
    placement: searches.map(({ placement }) => placement.map((experts) => [...experts])),
    skewBefore,
    copies: searches.reduce((sum, { copies }) => sum + copies, 0),
    skewAfter: mean(searches.map(({ skew }) => skew)),
  };
}
