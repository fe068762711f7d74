/**
 * Stands in the side process of a rank, as the sole caller of its engine.
 *
 * It keeps the promise of the highest ballot, so that engines that ignore fencing numbers are
 * fenced all the same, and passes one order at a time to the engine. A promise does not survive a
 * restart: orders name the incarnation that promised, and another one refuses them. An engine
 * order whose answer was lost is given again under the same id until it is answered, as it may
 * take effect at any time until then. After a restart nothing is passed on until the orders of the
 * earlier incarnation can no longer take effect.
 */
import PQueue from 'p-queue';

import { Err, Ok } from '../outcome.js';
import { EngineOrderErrorKind, type Engine, type EngineOrder } from '../ports/engine.js';
import type { Metrics } from '../ports/metrics.js';

import { NO_BALLOT, compareBallots, type Ballot } from './ballot.js';
import {
  ENGINE_RANK_STATE_SCHEMA,
  RankAction,
  RankErrorKind,
  type RankAnswer,
  type RankOrder,
  type RankOrderOf,
  type RankState,
} from './rankOrder.js';

/** Wait before an unanswered engine order is given again. */
const ENGINE_RETRY_DELAY_MS = 50;

/** Orders that may wait for the engine. */
const MAX_QUEUED_ORDERS = 64;

export interface RankGuardOptions {
  /** Changes with every start of the process. */
  readonly incarnation: string;
  /** Time after which an order that reached the engine has taken effect or never will. */
  readonly engineOrderLimitMs: number;
}

type BallotOrder = RankOrderOf<RankAction.Switch> | RankOrderOf<RankAction.Release>;

function delay(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Fences and orders everything that is done to one rank. */
export class RankGuard {
  readonly #engine: Pick<Engine, 'order'>;

  readonly #options: RankGuardOptions;

  readonly #metrics: Metrics;

  readonly #readyAtMs: number;

  readonly #queue = new PQueue({ concurrency: 1 });

  #promised: Ballot = NO_BALLOT;

  /** Whether the promised ballot has ended in a release here. */
  #isReleased = false;

  #orderCount = 0;

  constructor(engine: Pick<Engine, 'order'>, options: RankGuardOptions, metrics: Metrics) {
    this.#engine = engine;
    this.#options = options;
    this.#metrics = metrics;
    this.#readyAtMs = Date.now() + options.engineOrderLimitMs;
  }

  /** Carries one order out, after those that came before. */
  handle(order: RankOrder): Promise<RankAnswer> {
    if (Date.now() < this.#readyAtMs) return this.#refuse(RankErrorKind.NotReady);
    if (this.#queue.size >= MAX_QUEUED_ORDERS) return this.#refuse(RankErrorKind.Busy);
    return this.#queue.add(() => this.#execute(order));
  }

  #execute(order: RankOrder): Promise<RankAnswer> {
    switch (order.action) {
      case RankAction.Stage:
        return this.#stage(order);
      case RankAction.Hold:
        return this.#hold(order.ballot);
      case RankAction.Switch:
        return this.#switch(order);
      case RankAction.Release:
        return this.#release(order);
      case RankAction.Read:
        return this.#read();
      default:
        return this.#refuse(RankErrorKind.Invalid);
    }
  }

  async #stage(order: RankOrderOf<RankAction.Stage>): Promise<RankAnswer> {
    if (order.fencingNumber < this.#promised.fencingNumber) {
      return this.#refuse(RankErrorKind.Fenced);
    }
    const before = await this.#read();
    if (!before.ok) return before;
    // A rank without a map is held until it has one.
    if (before.val.isHeld && before.val.mapVersion > 0) return this.#refuse(RankErrorKind.Held);
    const discardVersions = order.discardVersions.filter(
      (version) => version !== before.val.mapVersion,
    );
    return this.#orderEngine(RankAction.Stage, order.fencingNumber, {
      map: order.map,
      discardVersions,
    });
  }

  async #hold(ballot: Ballot): Promise<RankAnswer> {
    const order = compareBallots(ballot, this.#promised);
    if (order < 0) return this.#refuse(RankErrorKind.Superseded);
    if (order === 0 && this.#isReleased) return this.#refuse(RankErrorKind.Superseded);
    if (order > 0) this.#isReleased = false;
    this.#promised = ballot;
    return this.#orderEngine(RankAction.Hold, ballot.fencingNumber, {});
  }

  async #switch(order: BallotOrder): Promise<RankAnswer> {
    const fault = this.#findRefusalKind(order);
    if (fault) return this.#refuse(fault);
    const before = await this.#read();
    if (!before.ok) return before;
    if (!before.val.isHeld) return this.#refuse(RankErrorKind.Invalid);
    if (before.val.mapVersion === order.mapVersion) return before;
    if (!before.val.availableVersions.includes(order.mapVersion)) {
      return this.#refuse(RankErrorKind.NotStaged);
    }
    return this.#orderEngine(RankAction.Switch, order.ballot.fencingNumber, {
      mapVersion: order.mapVersion,
    });
  }

  async #release(order: BallotOrder): Promise<RankAnswer> {
    const isRepeated = this.#isReleased && compareBallots(order.ballot, this.#promised) === 0;
    if (isRepeated && order.incarnation === this.#options.incarnation) return this.#read();
    const fault = this.#findRefusalKind(order);
    if (fault) return this.#refuse(fault);
    const before = await this.#read();
    if (!before.ok) return before;
    if (before.val.mapVersion !== order.mapVersion) return this.#refuse(RankErrorKind.Invalid);
    this.#isReleased = true;
    return this.#orderEngine(RankAction.Release, order.ballot.fencingNumber, {
      mapVersion: order.mapVersion,
    });
  }

  /** Why an order bound to a ballot is not carried out. */
  #findRefusalKind(order: BallotOrder): RankErrorKind | undefined {
    if (order.incarnation !== this.#options.incarnation) return RankErrorKind.StaleIncarnation;
    if (compareBallots(order.ballot, this.#promised) !== 0) return RankErrorKind.Superseded;
    if (this.#isReleased) return RankErrorKind.Superseded;
    return undefined;
  }

  #read(): Promise<RankAnswer> {
    return this.#orderEngine(RankAction.Read, this.#promised.fencingNumber, {});
  }

  /** Gives one engine order until it is answered; its answer is a reading of the rank. */
  #orderEngine(
    action: RankAction,
    fencingNumber: number,
    params: Readonly<Record<string, unknown>>,
  ): Promise<RankAnswer> {
    this.#orderCount += 1;
    const orderId = `${this.#options.incarnation}/${this.#orderCount}`;
    return this.#orderUntilAnswered({ orderId, fencingNumber, action, params });
  }

  async #orderUntilAnswered(order: EngineOrder): Promise<RankAnswer> {
    const answer = await this.#engine.order(order);
    if (answer.ok) return this.#toState(answer.val);
    if (answer.val.kind === EngineOrderErrorKind.Fenced) return this.#handleEngineFencing(order);
    if (answer.val.kind === EngineOrderErrorKind.Refused) {
      return this.#refuse(RankErrorKind.Invalid, answer.val.detail);
    }
    this.#metrics.count('groups.engine_retry', { action: order.action });
    await delay(ENGINE_RETRY_DELAY_MS);
    return this.#orderUntilAnswered(order);
  }

  /** A restarted side process has forgotten a number that its engine remembers. */
  async #handleEngineFencing(order: EngineOrder): Promise<RankAnswer> {
    if (order.action !== String(RankAction.Read)) await this.#read();
    return this.#refuse(RankErrorKind.Fenced);
  }

  #raisePromisedBallot(fencingNumber: number): void {
    if (fencingNumber <= this.#promised.fencingNumber) return;
    this.#promised = { fencingNumber, attempt: 0, proposer: '' };
    this.#isReleased = false;
  }

  #toState(value: Readonly<Record<string, unknown>>): Promise<RankAnswer> {
    const parsed = ENGINE_RANK_STATE_SCHEMA.safeParse(value);
    if (!parsed.success) return this.#refuse(RankErrorKind.Invalid, 'engine answer not readable');
    this.#raisePromisedBallot(parsed.data.fencingNumber);
    const state: RankState = {
      ...parsed.data,
      incarnation: this.#options.incarnation,
      promised: this.#promised,
    };
    return Promise.resolve(Ok(state));
  }

  #refuse(kind: RankErrorKind, detail: string = kind): Promise<RankAnswer> {
    this.#metrics.count('groups.rank_refused', { reason: kind });
    return Promise.resolve(Err({ kind, detail, promised: this.#promised }));
  }
}
