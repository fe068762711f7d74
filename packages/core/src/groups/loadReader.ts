/**
 * Reads the token counts by slot from the engines of a group.
 *
 * An engine that publishes its load answers `read-load` with its last windows. A window is a fixed
 * number of steps, so the window numbers of all ranks match. An engine that refuses the order does
 * not publish its load; without it no plan is made.
 */
import { z } from 'zod';

import type { Metrics } from '../ports/metrics.js';

import type { RankLoadReport } from './expertLoad.js';
import type { LinkRankControl } from './linkRankControl.js';
import type { OrderClient } from './orderClient.js';

/** Name of the engine order that reads the load. */
export const READ_LOAD_ACTION = 'read-load';

const COUNT_SCHEMA = z.number().int().nonnegative();

const LOAD_SCHEMA = z.object({
  windows: z
    .array(
      z.object({
        window: COUNT_SCHEMA,
        mapVersion: COUNT_SCHEMA,
        steps: COUNT_SCHEMA,
        tokens: z.array(z.number().nonnegative()),
      }),
    )
    .max(16),
});

/** Reads the load of one group. */
export class LoadReader {
  readonly #control: LinkRankControl;

  readonly #links: OrderClient;

  readonly #metrics: Metrics;

  constructor(control: LinkRankControl, links: OrderClient, metrics: Metrics) {
    this.#control = control;
    this.#links = links;
    this.#metrics = metrics;
  }

  /**
   * Reads all ranks in parallel.
   *
   * @returns reports of the ranks that answered, oldest window first
   */
  async read(fencingNumber: number): Promise<readonly RankLoadReport[]> {
    const upstreams = this.#control.listUpstreams();
    const reports = await Promise.all(
      upstreams.map((upstream, rank) =>
        upstream === undefined ? [] : this.#readRank(upstream, rank, fencingNumber),
      ),
    );
    return reports.flat().sort((one, other) => one.window - other.window);
  }

  async #readRank(
    upstream: string,
    rank: number,
    fencingNumber: number,
  ): Promise<readonly RankLoadReport[]> {
    const order = { fencingNumber, action: READ_LOAD_ACTION, params: {} };
    const reply = await this.#links.send(upstream, order);
    const load = reply?.isOk ? LOAD_SCHEMA.safeParse(reply.result) : undefined;
    if (load?.success) return load.data.windows.map((window) => ({ rank, ...window }));
    this.#metrics.count('groups.load_missing', { reason: reply ? 'not-published' : 'lost' });
    return [];
  }
}
