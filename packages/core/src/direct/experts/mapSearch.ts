/** Searches for a better expert map of all layers, in slices that do not block the event loop. */
import type { Random } from '../../ports/random.js';
import type { GroupProfile } from '../routeTable.js';
import { wait } from '../../wait.js';

import { LayerSearch } from './layerSearch.js';

/** Experts by layer, then rank. */
export type Placement = readonly (readonly (readonly number[])[])[];

/** Longest time that the search blocks the event loop. */
const SLICE_MAX_MS = 3;

/** Moves between two checks of the clock. */
const MOVES_PER_CLOCK_CHECK = 16;

/** Pause after each slice, in which requests are served: the search gets a third of the time. */
const SLICE_PAUSE_MS = 6;

/** Longest duration of one search; the best map found by then is used. */
const SEARCH_MAX_MS = 700;

export interface MapSearchInput {
  readonly profile: GroupProfile;
  /** The map in force. */
  readonly placement: Placement;
  /** Choices of each expert, by layer and expert, for each sample. */
  readonly samples: readonly Float64Array[];
  /** Time that each rank takes for its work, relative to a healthy rank. */
  readonly paces: readonly number[];
  readonly random: Random;
}

/** Result of a search. A skew is the load of the most loaded rank, relative to the mean load. */
export interface FoundMap {
  readonly placement: Placement;
  /** Mean skew of the map in force over all layers. */
  readonly skewBefore: number;
  /** Mean skew of the found map over all layers. */
  readonly skewAfter: number;
  /** Experts that the ranks have to copy. */
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

/** Searches one layer until `untilMs`; @returns whether the search is done. */
function searchSlice(search: LayerSearch, untilMs: number): boolean {
  while (!search.isDone && performance.now() < untilMs) {
    for (let move = 0; move < MOVES_PER_CLOCK_CHECK && !search.isDone; move += 1) search.step();
  }
  return search.isDone;
}

/** Searches all layers in turn and returns the combined map. */
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
    // The search shares the thread with request handling.
    // eslint-disable-next-line no-await-in-loop -- see above
    await wait(SLICE_PAUSE_MS);
  }
  return {
    placement: searches.map(({ placement }) => placement.map((experts) => [...experts])),
    skewBefore,
    copies: searches.reduce((sum, { copies }) => sum + copies, 0),
    skewAfter: mean(searches.map(({ skew }) => skew)),
  };
}
