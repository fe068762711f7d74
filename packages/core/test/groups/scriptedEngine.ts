/** Engine of one rank that executes orders at once or leaves them unanswered. */
import { RankAction, type EngineRankState } from '../../src/groups/rankOrder.js';
import { Err, Ok, type Result } from '../../src/outcome.js';
import {
  EngineOrderErrorKind,
  type EngineOrder,
  type EngineOrderError,
} from '../../src/ports/engine.js';

/** Starts with versions 1 and 2 available and version 1 in force. */
export class ScriptedEngine {
  state: EngineRankState = {
    mapVersion: 1,
    availableVersions: [1, 2],
    isHeld: false,
    fencingNumber: 0,
    steps: 0,
  };

  readonly orders: EngineOrder[] = [];

  /** Number of next orders that are neither executed nor answered. */
  unanswered = 0;

  /** Changes the state that the engine reports. */
  set(change: Partial<EngineRankState>): void {
    this.state = { ...this.state, ...change };
  }

  /** Neither executes nor answers the next orders. */
  leaveUnanswered(orders: number): void {
    this.unanswered = orders;
  }

  order(order: EngineOrder): Promise<Result<Readonly<Record<string, unknown>>, EngineOrderError>> {
    this.orders.push(order);
    if (this.unanswered > 0) {
      this.unanswered -= 1;
      return Promise.resolve(Err({ kind: EngineOrderErrorKind.Unknown, detail: 'lost' }));
    }
    if (
      order.action !== String(RankAction.Read) &&
      order.fencingNumber < this.state.fencingNumber
    ) {
      return Promise.resolve(Err({ kind: EngineOrderErrorKind.Fenced, detail: 'old' }));
    }
    this.#apply(order);
    return Promise.resolve(Ok({ ...this.state }));
  }

  #apply(order: EngineOrder): void {
    const { action, params } = order;
    if (action === String(RankAction.Hold)) this.set({ isHeld: true });
    if (action === String(RankAction.Release)) this.set({ isHeld: false });
    if (action === String(RankAction.Switch)) {
      this.set({ mapVersion: Number(params.mapVersion) });
    }
  }
}
