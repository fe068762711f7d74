/**
 * Guards the engine of a rank in its side process, as the only caller of that engine.
 *
 * It remembers the highest promised ballot and refuses lower ones, so engines that do not check
 * fencing numbers are fenced as well, and sends one order at a time to the engine. The promise is
 * lost in a restart: orders name the incarnation that promised, and any other one refuses them. An
 * engine order without an answer is sent again under the same id until it is answered, as it may
 * take effect at any time until then. After a restart no order is sent until the orders of the
 * previous incarnation can no longer take effect.
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

/** Delay before an unanswered engine order is sent again. */
const ENGINE_RETRY_DELAY_MS = 50;

/** Most orders that wait for the engine; further ones are refused as busy. */
const MAX_QUEUED_ORDERS = 64;

export interface RankGuardOptions {
  /** Changes with every start of the process. */
  readonly incarnation: string;
  /** Time after which an order sent to the engine has taken effect or never will. */
  readonly engineOrderLimitMs: number;
}

type BallotOrder = RankOrderOf<RankAction.Switch> | RankOrderOf<RankAction.Release>;

function delay(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Fences and serializes the orders to one rank. */
export class RankGuard {
  readonly #engine: Pick<Engine, 'order'>;

  readonly #options: RankGuardOptions;

  readonly #metrics: Metrics;

  readonly #readyAtMs: number;

  readonly #queue = new PQueue({ concurrency: 1 });

  #promised: Ballot = NO_BALLOT;

  /** Whether the promised ballot has released this rank. */
  #isReleased = false;

  #orderCount = 0;

  constructor(engine: Pick<Engine, 'order'>, options: RankGuardOptions, metrics: Metrics) {
    this.#engine = engine;
    this.#options = options;
    this.#metrics = metrics;
    this.#readyAtMs = Date.now() + options.engineOrderLimitMs;
  }

  /** Executes an order after all earlier ones; refuses it after a start or if too many wait. */
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
    // A rank without a map is always held, so it has to accept a map while held.
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
    const comparison = compareBallots(ballot, this.#promised);
    if (comparison < 0) return this.#refuse(RankErrorKind.Superseded);
    if (comparison === 0 && this.#isReleased) return this.#refuse(RankErrorKind.Superseded);
    if (comparison > 0) this.#isReleased = false;
    this.#promised = ballot;
    return this.#orderEngine(RankAction.Hold, ballot.fencingNumber, {});
  }

  async #switch(order: BallotOrder): Promise<RankAnswer> {
    const refusalKind = this.#findRefusalKind(order);
    if (refusalKind) return this.#refuse(refusalKind);
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
    const refusalKind = this.#findRefusalKind(order);
    if (refusalKind) return this.#refuse(refusalKind);
    const before = await this.#read();
    if (!before.ok) return before;
    if (before.val.mapVersion !== order.mapVersion) return this.#refuse(RankErrorKind.Invalid);
    this.#isReleased = true;
    return this.#orderEngine(RankAction.Release, order.ballot.fencingNumber, {
      mapVersion: order.mapVersion,
    });
  }

  /** Why a switch or release order is refused; undefined if it is not. */
  #findRefusalKind(order: BallotOrder): RankErrorKind | undefined {
    if (order.incarnation !== this.#options.incarnation) return RankErrorKind.StaleIncarnation;
    if (compareBallots(order.ballot, this.#promised) !== 0) return RankErrorKind.Superseded;
    if (this.#isReleased) return RankErrorKind.Superseded;
    return undefined;
  }

  #read(): Promise<RankAnswer> {
    return this.#orderEngine(RankAction.Read, this.#promised.fencingNumber, {});
  }

  /** Sends an order to the engine until it is answered; the answer is the state of the rank. */
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

  /**
   * Refuses a fenced order after reading the engine's fencing number, which a restarted side
   * process does not know.
   */
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
    if (!parsed.success) return this.#refuse(RankErrorKind.Invalid, 'malformed engine reply');
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
