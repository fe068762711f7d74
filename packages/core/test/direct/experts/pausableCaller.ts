/** Calls to the ranks by a coordinator that is paused or dies between two orders. */
import type { UpstreamEntry } from '../../../src/direct/directUpstream.js';
import {
  RankCaller,
  type OrderOutcome,
  type RankCommand,
} from '../../../src/direct/experts/rankCaller.js';

import type { RankGroup } from './rankGroup.js';

/** Forwards a given number of orders; later ones wait, as if the coordinator was paused. */
export class PausableCaller extends RankCaller {
  readonly #group: RankGroup;

  #ordersLeft: number;

  constructor(group: RankGroup, orders: number) {
    super();
    this.#group = group;
    this.#ordersLeft = orders;
  }

  #resumes: (() => void)[] = [];

  /** Resumes the coordinator: the waiting orders are sent. */
  resume(): void {
    this.#resumes.splice(0).forEach((resume) => resume());
  }

  override readReport(entry: UpstreamEntry) {
    return this.#group.readReport(entry);
  }

  override readCounts() {
    return this.#group.readCounts();
  }

  override readExperts(entry: UpstreamEntry) {
    return this.#group.readExperts(entry);
  }

  override async order(entry: UpstreamEntry, command: RankCommand): Promise<OrderOutcome> {
    this.#ordersLeft -= 1;
    if (this.#ordersLeft < 0) {
      await new Promise<void>((resolve) => {
        this.#resumes.push(resolve);
      });
    }
    return this.#group.order(entry, command);
  }
}
