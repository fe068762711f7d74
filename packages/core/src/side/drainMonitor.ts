/** Detects a drain of the failure domain, and triggers the move of work in flight. */
import { ConfigKind } from '../config/object.js';
import type { SideBoard } from '../state/sideBoard.js';

import { isDrained } from './submissionCheck.js';

/**
 * Triggers the move of work out of a drained failure domain, `moveAfterMs` after the drain was
 * seen; 0 means never.
 */
export class DrainMonitor {
  readonly #board: SideBoard;

  readonly #onMove: () => void;

  #drainedAtMs: number | undefined;

  #hasMoved = false;

  /** @param onMove called once per drain, when work in flight has to move */
  constructor(board: SideBoard, onMove: () => void) {
    this.#board = board;
    this.#onMove = onMove;
  }

  /** Checks the configuration; called after every change and at an interval. */
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
