/** Calls of ranks whose giver is paused or dies between two orders. */
import type { UpstreamEntry } from '../../../src/direct/directUpstream.js';
import {
  RankCaller,
  type OrderOutcome,
  type RankCommand,
} from '../../../src/direct/experts/rankCaller.js';

import type { RankGroup } from './rankGroup.js';

/** Calls that stop being carried out from some order on, as their giver is paused or dead. */
export class PausedCaller extends RankCaller {
  readonly #group: RankGroup;

  #ordersLeft: number;

  constructor(group: RankGroup, orders: number) {
    super();
    this.#group = group;
    this.#ordersLeft = orders;
  }

  #resumes: (() => void)[] = [];

  /** Lets the giver go on, with whatever it was about to do. */
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
