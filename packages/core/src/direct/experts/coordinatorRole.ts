/**
 * Elects the entry that coordinates the expert maps: the one with the lowest name among the entries
 * that are connected to each other and not in a planned stop. The election is not a lock, so two
 * entries may act as coordinator at a time; the switch protocol makes that safe.
 */
import type { FleetBoard } from '../fleetBoard.js';

/** Gap between two rounds from which this process is considered to have been paused. */
const PAUSE_THRESHOLD_MS = 1_200;

/** Time for which an entry leaves the groups alone after a pause, as others may act by then. */
const BACKOFF_MS = 2_500;

/** Time after the start to discover the other entries: they are dialled within 500 ms. */
const STARTUP_DELAY_MS = 600;

/** What an entry does for the groups of a pool. */
export enum Role {
  /** Coordinates the expert maps. */
  Coordinator = 'giver',
  /** Only releases a group that stalls on a held pass. */
  Standby = 'rescuer',
  /** Does nothing, as its process was paused recently. */
  None = 'none',
}

/** Tracks the role of this entry. */
export class CoordinatorRole {
  readonly #board: FleetBoard;

  /** End of the startup delay, before which this entry does not coordinate. */
  #startupEndsAtMs = 0;

  /** End of the backoff after a pause. */
  #backoffEndsAtMs = 0;

  #roundEndedAtMs = 0;

  constructor(board: FleetBoard) {
    this.#board = board;
  }

  start(nowMs: number): void {
    this.#roundEndedAtMs = nowMs;
    this.#startupEndsAtMs = nowMs + STARTUP_DELAY_MS;
  }

  /** Begins a round and returns the role in it. A late round shows that the process was paused. */
  beginRound(nowMs: number): Role {
    const wasPaused = nowMs - this.#roundEndedAtMs > PAUSE_THRESHOLD_MS;
    if (wasPaused) this.#backoffEndsAtMs = nowMs + BACKOFF_MS;
    if (nowMs < this.#backoffEndsAtMs) return Role.None;
    return nowMs >= this.#startupEndsAtMs && this.isElected ? Role.Coordinator : Role.Standby;
  }

  endRound(nowMs: number): void {
    this.#roundEndedAtMs = nowMs;
  }

  /**
   * Whether this entry has the lowest name among the eligible entries. If all entries are in a
   * planned stop, as during a rolling restart, one of them still coordinates.
   */
  get isElected(): boolean {
    const { livePeers: heardPeers, isStopping, name, stoppingPeers } = this.#board;
    const activePeers = [...heardPeers].filter((peer) => !stoppingPeers.has(peer));
    if (isStopping && activePeers.length > 0) return false;
    const candidates = isStopping ? [...heardPeers] : activePeers;
    return candidates.every((peer) => name < peer);
  }
}
