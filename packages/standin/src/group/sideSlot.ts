/**
 * The slot of a side process beside one rank: the process in it can be killed, frozen and cut off.
 *
 * Orders of a killed process that are already on their way to the engine still take effect there.
 */
import { HoldWatchdog } from '@radishbay/core/groups/holdWatchdog.js';
import type { RankControl } from '@radishbay/core/groups/rankControl.js';
import { RankGuard } from '@radishbay/core/groups/rankGuard.js';
import type { RankAnswer, RankOrder } from '@radishbay/core/groups/rankOrder.js';
import { Err } from '@radishbay/core/outcome.js';
import { EngineOrderErrorKind, type EngineOrder } from '@radishbay/core/ports/engine.js';
import type { Metrics } from '@radishbay/core/ports/metrics.js';
import { Random } from '@radishbay/core/ports/random.js';

import { FaultKind, type EventFaults, type Fault } from './eventFaults.js';
import type { Proposer } from './proposer.js';
import type { EngineAnswer, RankEngine } from './rankEngine.js';

/** Interval at which a side process looks at its rank. */
const WATCH_MS = 50;

export interface SideSlotOptions {
  readonly rank: number;
  readonly seed: number;
  readonly holdLimitMs: number;
  /** Longest time that an order to the engine is late. */
  readonly engineOrderLimitMs: number;
  /** Wait of a restarted side process; the limit above, unless a test lowers it. */
  readonly startWaitMs: number;
}

function delay(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

const NEVER = new Promise<never>(() => {});

/** One rank's side process, as long as it lives, and its next ones. */
export class SideSlot {
  readonly #engine: RankEngine;

  readonly #options: SideSlotOptions;

  readonly #faults: EventFaults;

  readonly #control: (slot: SideSlot) => RankControl;

  readonly #metrics: Metrics;

  #life = 0;

  #guard: RankGuard | undefined;

  #watch: HoldWatchdog | undefined;

  #frozenUntilMs = 0;

  #cutUntilMs = 0;

  constructor(
    engine: RankEngine,
    options: SideSlotOptions,
    faults: EventFaults,
    control: (slot: SideSlot) => RankControl,
    metrics: Metrics,
  ) {
    this.#engine = engine;
    this.#options = options;
    this.#faults = faults;
    this.#control = control;
    this.#metrics = metrics;
    this.#start();
    this.#tick();
  }

  /** The present process as a sender of orders. */
  makeProposer(): Proposer {
    const life = this.#life;
    const isDead = (): boolean => life !== this.#life;
    const frozenUntilMs = (): number => this.#frozenUntilMs;
    return {
      get isDead() {
        return isDead();
      },
      get frozenUntilMs() {
        return frozenUntilMs();
      },
      strike: (fault) => this.#strikeProposer(fault),
    };
  }

  get isCut(): boolean {
    return Date.now() < this.#cutUntilMs;
  }

  /** Breaks this side process or its rank. */
  strike(fault: Fault): void {
    const untilMs = Date.now() + fault.durationMs;
    if (fault.kind === FaultKind.KillSide) this.#kill(fault.durationMs);
    if (fault.kind === FaultKind.FreezeSide) this.#frozenUntilMs = untilMs;
    if (fault.kind === FaultKind.CutRank) this.#cutUntilMs = untilMs;
    if (fault.kind === FaultKind.StallRank) this.#engine.isStalled = true;
    if (fault.kind === FaultKind.StallRank) setTimeout(() => this.#unstall(), fault.durationMs);
  }

  /** Hands an order to the process in the slot; never settles where there is none. */
  async handle(order: RankOrder): Promise<RankAnswer> {
    const life = this.#life;
    await this.thaw();
    if (!this.#guard || life !== this.#life) return NEVER;
    return this.#guard.handle(order);
  }

  /** Waits until the process is not frozen. */
  async thaw(): Promise<void> {
    const waitMs = this.#frozenUntilMs - Date.now();
    if (waitMs > 0) await delay(waitMs);
  }

  #start(): void {
    const { rank, seed, startWaitMs, holdLimitMs } = this.#options;
    const incarnation = `side-${rank}.${this.#life}`;
    const engine = this.#makeEngineLink(this.#life);
    const options = { incarnation, engineOrderLimitMs: startWaitMs };
    this.#guard = new RankGuard(engine, options, this.#metrics);
    const random = new Random(seed * 100 + rank * 10 + this.#life);
    const watchOptions = { incarnation, holdLimitMs };
    const control = this.#control(this);
    this.#watch = new HoldWatchdog(this.#guard, control, watchOptions, random, this.#metrics);
  }

  #strikeProposer(fault: Fault): void {
    if (fault.kind === FaultKind.KillProposer) this.#kill(fault.durationMs);
    if (fault.kind === FaultKind.FreezeProposer) {
      this.#frozenUntilMs = Date.now() + fault.durationMs;
    }
  }

  #kill(durationMs: number): void {
    if (!this.#guard) return;
    this.#life += 1;
    this.#guard = undefined;
    this.#watch = undefined;
    setTimeout(() => {
      this.#life += 1;
      this.#start();
    }, durationMs);
  }

  #unstall(): void {
    this.#engine.isStalled = false;
    this.#engine.wake();
  }

  #tick(): void {
    if (Date.now() >= this.#frozenUntilMs) this.#watch?.step(Date.now());
    setTimeout(() => this.#tick(), WATCH_MS).unref();
  }

  /** Loopback connection of one life of the process to the engine. */
  #makeEngineLink(life: number): Pick<RankEngine, 'order'> {
    return { order: (order) => this.#passToEngine(life, order) };
  }

  async #passToEngine(life: number, order: EngineOrder): Promise<EngineAnswer> {
    if (life !== this.#life) return NEVER;
    const fault = this.#faults.next();
    if (fault) this.strike(fault);
    const answer = await this.#execute(order, fault);
    await this.thaw();
    return life === this.#life ? answer : NEVER;
  }

  async #execute(order: EngineOrder, fault: Fault | undefined): Promise<EngineAnswer> {
    const lateMs = Math.min(fault?.durationMs ?? 0, this.#options.engineOrderLimitMs);
    if (fault?.kind === FaultKind.Lose || fault?.kind === FaultKind.KillSide) {
      setTimeout(() => this.#engine.order(order), lateMs);
      return Err({ kind: EngineOrderErrorKind.Unknown, detail: 'answer lost' });
    }
    if (fault?.kind === FaultKind.Delay) await delay(lateMs);
    if (fault?.kind === FaultKind.Repeat) setTimeout(() => this.#engine.order(order), lateMs);
    return this.#engine.order(order);
  }
}
