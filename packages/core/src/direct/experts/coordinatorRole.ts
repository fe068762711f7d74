/**
 * Which of the entries gives the expert maps: the one with the lowest name among those that hear
 * each other and are not in a planned stop. That is no lock; what keeps two of them from harm is
 * the switch itself.
 */
import type { FleetBoard } from '../fleetBoard.js';

/** Time between two rounds after which this process must have been paused. */
const PAUSE_LIMIT_MS = 1_200;

/** Time for which a process that was paused leaves the groups alone: others may act by then. */
const BACKOFF_MS = 2_500;

/** Time after the start in which it hears of the others: their links are dialled within 500 ms. */
const STARTUP_DELAY_MS = 600;

/** What an entry does for the groups of a pool. */
export enum Role {
  /** It gives the maps. */
  Coordinator = 'giver',
  /** It only lets a group go on that is held and silent. */
  Standby = 'rescuer',
  /** Nothing, as it was paused a moment ago. */
  None = 'none',
}

/** Role of one entry. */
export class CoordinatorRole {
  readonly #board: FleetBoard;

  /** Until when it gives no maps. */
  #startupEndsAtMs = 0;

  /** Until when it leaves the groups alone. */
  #backoffEndsAtMs = 0;

  #roundEndedAtMs = 0;

  constructor(board: FleetBoard) {
    this.#board = board;
  }

  start(nowMs: number): void {
    this.#roundEndedAtMs = nowMs;
    this.#startupEndsAtMs = nowMs + STARTUP_DELAY_MS;
  }

  /** Begins a round; one that comes late shows that the process was paused. */
  beginRound(nowMs: number): Role {
    const wasPaused = nowMs - this.#roundEndedAtMs > PAUSE_LIMIT_MS;
    if (wasPaused) this.#backoffEndsAtMs = nowMs + BACKOFF_MS;
    if (nowMs < this.#backoffEndsAtMs) return Role.None;
    return nowMs >= this.#startupEndsAtMs && this.isElected ? Role.Coordinator : Role.Standby;
  }

  endRound(nowMs: number): void {
    this.#roundEndedAtMs = nowMs;
  }

  /**
   * Whether this entry is the first of those that can give maps. Where all entries are in a planned
   * stop, as while they are restarted in turn, one of them goes on with it.
   */
  get isElected(): boolean {
    const { heardPeers, isStopping, name, stoppingPeers } = this.#board;
    const activePeers = [...heardPeers].filter((peer) => !stoppingPeers.has(peer));
    if (isStopping && activePeers.length > 0) return false;
    const candidates = isStopping ? [...heardPeers] : activePeers;
    return candidates.every((peer) => name < peer);
  }
}
