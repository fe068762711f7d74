/**
 * A stand-in for the engine of one rank.
 *
 * It holds at a step boundary, switches to a staged map and steps again on order. It obeys every
 * order that it can carry out; whether it refuses old fencing numbers is a setting.
 */
import type { ExpertMap } from '@radishbay/core/groups/expertMap.js';
import { RankAction, type EngineRankState } from '@radishbay/core/groups/rankOrder.js';
import { Err, Ok, type Result } from '@radishbay/core/outcome.js';
import {
  EngineOrderErrorKind,
  type EngineOrder,
  type EngineOrderError,
} from '@radishbay/core/ports/engine.js';

export type EngineAnswer = Result<Readonly<Record<string, unknown>>, EngineOrderError>;

/** What a rank needs to know of the group that it steps in. */
export interface StepBarrier {
  readonly isStepping: boolean;
  readonly steps: number;
  /** Steps if all ranks can. */
  readonly wake: () => void;
}

function refuse(detail: string): EngineAnswer {
  return Err({ kind: EngineOrderErrorKind.Refused, detail });
}

/** Engine of one rank. */
export class RankEngine {
  readonly #barrier: StepBarrier;

  readonly #isFencingChecked: boolean;

  readonly #answers = new Map<string, EngineAnswer>();

  readonly #maps = new Map<number, ExpertMap>();

  #boundaryWaiters: (() => void)[] = [];

  #mapVersion = 0;

  #isHeld = true;

  #fencingNumber = 0;

  isStalled = false;

  constructor(barrier: StepBarrier, isFencingChecked: boolean) {
    this.#barrier = barrier;
    this.#isFencingChecked = isFencingChecked;
  }

  get mapVersion(): number {
    return this.#mapVersion;
  }

  /** Whether this rank would enter the next step. */
  get isReady(): boolean {
    return !this.#isHeld && !this.isStalled && this.#mapVersion > 0;
  }

  /** Puts a first map in force, as at the start of a group. */
  boot(map: ExpertMap): void {
    this.#maps.set(map.version, map);
    this.#mapVersion = map.version;
    this.#isHeld = false;
  }

  /** Forgets everything, as a restarted engine process does. */
  restart(): void {
    this.#maps.clear();
    this.#answers.clear();
    this.#mapVersion = 0;
    this.#isHeld = true;
    this.#fencingNumber = 0;
  }

  /** Asks the group to step if it can. */
  wake(): void {
    this.#barrier.wake();
  }

  /** Called by the group at each step boundary. */
  passBoundary(): void {
    const waiters = this.#boundaryWaiters;
    this.#boundaryWaiters = [];
    waiters.forEach((wake) => wake());
  }

  /** Carries an order out once per id. */
  async order(order: EngineOrder): Promise<EngineAnswer> {
    const known = this.#answers.get(order.orderId);
    if (known) return known;
    if (order.action === String(RankAction.Read)) return this.#read();
    if (this.#isFencingChecked && order.fencingNumber < this.#fencingNumber) {
      return Err({ kind: EngineOrderErrorKind.Fenced, detail: 'old fencing number' });
    }
    this.#fencingNumber = Math.max(this.#fencingNumber, order.fencingNumber);
    const answer = await this.#carryOut(order);
    this.#answers.set(order.orderId, answer);
    return answer;
  }

  async #carryOut(order: EngineOrder): Promise<EngineAnswer> {
    switch (order.action as RankAction) {
      case RankAction.Stage:
        return this.#stage(order);
      case RankAction.Hold:
        return this.#hold();
      case RankAction.Switch:
        return this.#switch(Number(order.params.mapVersion));
      case RankAction.Release:
        return this.#release();
      case RankAction.Read:
        return this.#read();
      default:
        return refuse(`unknown action ${order.action}`);
    }
  }

  #stage(order: EngineOrder): EngineAnswer {
    const map = order.params.map as ExpertMap;
    const discarded = order.params.discardVersions as readonly number[];
    discarded.forEach((version) => this.#maps.delete(version));
    this.#maps.set(map.version, map);
    return this.#read();
  }

  async #hold(): Promise<EngineAnswer> {
    this.#isHeld = true;
    if (this.#barrier.isStepping) {
      await new Promise<void>((resolve) => {
        this.#boundaryWaiters.push(resolve);
      });
    }
    return this.#read();
  }

  #switch(version: number): EngineAnswer {
    if (!this.#maps.has(version)) return refuse(`map ${version} is not staged`);
    this.#mapVersion = version;
    return this.#read();
  }

  #release(): EngineAnswer {
    if (this.#mapVersion === 0) return refuse('no map');
    this.#isHeld = false;
    this.#barrier.wake();
    return this.#read();
  }

  #read(): EngineAnswer {
    const reading: EngineRankState = {
      mapVersion: this.#mapVersion,
      availableVersions: [...this.#maps.keys()],
      isHeld: this.#isHeld,
      fencingNumber: this.#isFencingChecked ? this.#fencingNumber : 0,
      steps: this.#barrier.steps,
    };
    return Ok({ ...reading });
  }
}
