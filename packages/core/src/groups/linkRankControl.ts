/** Sends orders to the ranks of one group over the entry's links to their side processes. */
import { ConfigKind } from '../config/object.js';
import { Err } from '../outcome.js';
import type { EntryBoard } from '../state/entryBoard.js';

import { NO_BALLOT } from './ballot.js';
import type { OrderClient } from './orderClient.js';
import { RankControl } from './rankControl.js';
import { RankAction, RankErrorKind, type RankAnswer, type RankOrder } from './rankOrder.js';
import { readRankReply } from './rankReply.js';

function findFencingNumber(order: RankOrder): number {
  if (order.action === RankAction.Read) return 0;
  return order.action === RankAction.Stage ? order.fencingNumber : order.ballot.fencingNumber;
}

/** {@link RankControl} over the links of one entry. */
export class LinkRankControl extends RankControl {
  readonly #board: EntryBoard;

  readonly #links: OrderClient;

  readonly #group: string;

  readonly #ranks: number;

  constructor(board: EntryBoard, links: OrderClient, group: string, ranks: number) {
    super();
    this.#board = board;
    this.#links = links;
    this.#group = group;
    this.#ranks = ranks;
  }

  override get ranks(): number {
    return this.#ranks;
  }

  /** Whether every rank is configured and its side process has an open link to this entry. */
  get isComplete(): boolean {
    const upstreams = this.listUpstreams();
    return upstreams.every((name) => name !== undefined && this.#links.isLinked(name));
  }

  /** Names of the upstreams by rank; undefined where none is configured. */
  listUpstreams(): readonly (string | undefined)[] {
    const names = new Array<string | undefined>(this.#ranks).fill(undefined);
    this.#board.config.list(ConfigKind.Upstream).forEach(({ name, group, rank }) => {
      if (group === this.#group && rank !== undefined && rank < this.#ranks) names[rank] = name;
    });
    return names;
  }

  override async order(rank: number, order: RankOrder): Promise<RankAnswer> {
    const upstream = this.listUpstreams()[rank];
    const { action, ...params } = order;
    const fencingNumber = findFencingNumber(order);
    const reply = upstream && (await this.#links.send(upstream, { fencingNumber, action, params }));
    if (reply) return readRankReply(reply);
    return Err({
      kind: RankErrorKind.Lost,
      detail: `no reply from rank ${rank}`,
      promised: NO_BALLOT,
    });
  }
}
