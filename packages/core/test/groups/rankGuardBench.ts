/** A rank guard with a scripted engine, on a fake clock. */
import FakeTimers from '@sinonjs/fake-timers';

import type { Ballot } from '../../src/groups/ballot.js';
import { RankGuard } from '../../src/groups/rankGuard.js';
import {
  RankAction,
  RankErrorKind,
  type RankAnswer,
  type RankOrder,
} from '../../src/groups/rankOrder.js';
import { CountingMetrics } from '../../src/ports/countingMetrics.js';
import { ScriptedEngine } from './scriptedEngine.js';

/** Time after its start during which the guard refuses orders. */
export const START_WAIT_MS = 200;

export function ballotOf(attempt: number, proposer = 'entry-1'): Ballot {
  return { fencingNumber: 1, attempt, proposer };
}

export class RankGuardBench {
  readonly clock = FakeTimers.install({ now: 0, toFake: ['setTimeout', 'clearTimeout', 'Date'] });

  readonly engine = new ScriptedEngine();

  readonly guard = new RankGuard(
    this.engine,
    { incarnation: 'side.1', engineOrderLimitMs: START_WAIT_MS },
    new CountingMetrics(),
  );

  /** Advances the clock until the guard accepts orders. */
  async waitForStart(): Promise<this> {
    await this.clock.tickAsync(START_WAIT_MS);
    return this;
  }

  order(order: RankOrder): Promise<RankAnswer> {
    return this.guard.handle(order);
  }

  hold(ballot: Ballot): Promise<RankAnswer> {
    return this.order({ action: RankAction.Hold, ballot });
  }

  orderInBallot(
    action: RankAction.Switch | RankAction.Release,
    ballot: Ballot,
    mapVersion: number,
    incarnation = 'side.1',
  ): Promise<RankAnswer> {
    return this.order({ action, ballot, incarnation, mapVersion });
  }

  /** Actions of the orders that the engine received, without reads. */
  get effects(): readonly string[] {
    return this.engine.orders
      .map((order) => order.action)
      .filter((action) => action !== String(RankAction.Read));
  }

  close(): void {
    this.clock.uninstall();
  }
}

/** Kind of the error; undefined if the order was executed. */
export function kindOf(answer: RankAnswer): RankErrorKind | undefined {
  return answer.ok ? undefined : answer.val.kind;
}
