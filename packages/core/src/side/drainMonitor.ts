/** Watches whether the failure domain is drained, and moves work away where the order says so. */
import { ConfigKind } from '../config/object.js';
import type { SideBoard } from '../state/sideBoard.js';

import { isDrained } from './submissionCheck.js';

/** Times the move of work in flight out of a drained failure domain. */
export class DrainMonitor {
  readonly #board: SideBoard;

  readonly #onMove: () => void;

  #drainedAtMs: number | undefined;

  #hasMoved = false;

  /** @param onMove called once for each drain, when work in flight is to move */
  constructor(board: SideBoard, onMove: () => void) {
    this.#board = board;
    this.#onMove = onMove;
  }

  /** Looks at the configuration; called after changes and at an interval. */
  step(nowMs: number): void {
    if (!isDrained(this.#board)) {
      this.#drainedAtMs = undefined;
      this.#hasMoved = false;
      return;
    }
    this.#drainedAtMs ??= nowMs;
    const moveAfterMs = this.#readMoveAfterMs();
    if (this.#hasMoved || moveAfterMs === 0) return;
    if (nowMs - this.#drainedAtMs < moveAfterMs) return;
    this.#hasMoved = true;
    this.#onMove();
  }

  #readMoveAfterMs(): number {
    const { config, upstream, domain } = this.#board;
    const name = config.get(ConfigKind.Upstream, upstream)?.domain ?? domain;
    return config.get(ConfigKind.Domain, name)?.moveAfterMs ?? 0;
  }
}
