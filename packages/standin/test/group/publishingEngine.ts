/** Engine of a rank behind a side process that publishes the tokens that reach its slots. */
import { findSlot, type ExpertMap } from '@radishbay/core/groups/expertMap.js';
import { READ_LOAD_ACTION } from '@radishbay/core/groups/loadReader.js';
import { RankAction } from '@radishbay/core/groups/rankOrder.js';
import { Ok, type Result } from '@radishbay/core/outcome.js';
import type { EngineOrder, EngineOrderError } from '@radishbay/core/ports/engine.js';

import type { RankGroup } from '../../src/group/rankGroup.js';
import { SimProcess } from '../../src/matrix/process/simProcess.js';
import { RecordingEngine } from '../support/recordingEngine.js';

/** Steps of one window. */
const WINDOW_STEPS = 80;

/** Number of windows after which another expert becomes the most used one. */
const DRIFT_WINDOWS = 5;

const WINDOWS_PUBLISHED = 6;
const POPULAR_TOKENS = 40_000;
const OTHER_TOKENS = 1_000;

type Answer = Result<Readonly<Record<string, unknown>>, EngineOrderError>;

/** Maps that have been staged on any rank of the group, by version. */
export type StagedMaps = Map<number, ExpertMap>;

function countTokens(map: ExpertMap, rank: number, window: number): readonly number[] {
  const { shape } = map;
  const popular = Math.floor(window / DRIFT_WINDOWS) % shape.experts;
  return Array.from({ length: shape.layers }, (_, layer) => {
    const from = findSlot(shape, layer, rank);
    const experts = map.slots.slice(from, from + shape.slotsPerRank);
    return experts.map((expert) => (expert === popular ? POPULAR_TOKENS : OTHER_TOKENS));
  }).flat();
}

const ACTIONS: ReadonlySet<string> = new Set([READ_LOAD_ACTION, ...Object.values(RankAction)]);

/** Engine of one rank; keeps running when its side process restarts. */
export class PublishingEngine extends RecordingEngine {
  readonly #group: RankGroup;

  readonly #rank: number;

  readonly #staged: StagedMaps;

  constructor(group: RankGroup, rank: number, staged: StagedMaps) {
    super();
    this.#group = group;
    this.#rank = rank;
    this.#staged = staged;
  }

  /** Whether the engine handles an action. */
  // eslint-disable-next-line @typescript-eslint/class-methods-use-this -- always the same
  takes(action: string): boolean {
    return ACTIONS.has(action);
  }

  override order(order?: EngineOrder): Promise<Answer> {
    const engine = this.#group.engines[this.#rank];
    if (!order || !engine) throw new Error('order is missing or the rank does not exist');
    if (order.action === READ_LOAD_ACTION) return Promise.resolve(this.#publish());
    if (order.action === String(RankAction.Stage)) {
      const map = order.params.map as ExpertMap;
      this.#staged.set(map.version, map);
    }
    return SimProcess.outside(() => engine.order(order));
  }

  /** Publishes the last complete windows; each counts under the map in force at its end. */
  #publish(): Answer {
    const newest = Math.floor(this.#group.steps / WINDOW_STEPS) - 1;
    const numbers = Array.from({ length: WINDOWS_PUBLISHED }, (_, age) => newest - age).reverse();
    return Ok({ windows: numbers.flatMap((window) => this.#measureWindow(window)) });
  }

  #measureWindow(window: number): readonly object[] {
    const last = this.#group.record[(window + 1) * WINDOW_STEPS - 1];
    const mapVersion = last?.versions[this.#rank] ?? 0;
    const map = this.#staged.get(mapVersion);
    if (window < 0 || !map) return [];
    const tokens = countTokens(map, this.#rank, window);
    return [{ window, mapVersion, steps: 1, tokens }];
  }
}
