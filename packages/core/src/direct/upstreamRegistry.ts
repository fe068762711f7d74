/**
 * Keeps the blackboard's upstreams as the platform's registry tells them.
 *
 * An entry may lapse while the platform is away although its upstream lives; it comes back soon
 * after. What is missing right after an outage is therefore kept for a moment. An upstream that has
 * begun to leave does not come back in the same life, whatever an old message says.
 */
import { LogLevel, type Log } from '../ports/log.js';

import type { UpstreamEntry } from './directUpstream.js';
import { LeavingNews, nameLife, type FleetBoard } from './fleetBoard.js';

const LOG_PART = 'membership';

/** Time after an outage in which living upstreams enter themselves again, with a little delay. */
const REREGISTRATION_MS = 2_200;

/** Upstreams of one entry's blackboard. */
export class UpstreamRegistry {
  readonly #board: FleetBoard;

  readonly #log: Log;

  readonly #removals = new Map<string, NodeJS.Timeout>();

  #reregistrationUntilMs = Number.NEGATIVE_INFINITY;

  constructor(board: FleetBoard, log: Log) {
    this.#board = board;
    this.#log = log;
    board.onLeaving(({ entry: { id, pool } }, source) => {
      log.write(LogLevel.Info, LOG_PART, 'An upstream leaves.', { id, pool, news: source });
    });
  }

  /** Hears that the platform answers again after it was out of reach. */
  noteReturn(nowMs: number): void {
    this.#reregistrationUntilMs = nowMs + REREGISTRATION_MS;
  }

  /** Takes in all entries that there are. */
  replaceAll(entries: readonly UpstreamEntry[], nowMs: number): void {
    const present = new Set(entries.map(({ id }) => id));
    entries.forEach((entry) => this.put(entry));
    this.#board.upstreams
      .filter(({ id }) => !present.has(id))
      .forEach(({ id }) => this.remove(id, nowMs));
    this.#board.hasUpstreams = true;
  }

  /** Takes in one entry that is new or has changed. */
  put(entry: UpstreamEntry): void {
    const known = this.#board.findUpstream(entry.id)?.entry;
    if (known && entry.startedAtUnixMs < known.startedAtUnixMs) return;
    this.#cancelRemoval(entry.id);
    const incarnation = nameLife(entry);
    const isLeaving = entry.isLeaving || this.#board.isLeavingIncarnation(incarnation);
    if (!known || nameLife(known) !== incarnation) {
      const { id, pool, domain, address, coldForMs } = entry;
      const fields = { id, pool, domain, address, coldForMs, isLeaving };
      this.#log.write(LogLevel.Info, LOG_PART, 'An upstream is there.', fields);
    }
    this.#board.putUpstream({ ...entry, isLeaving });
    if (isLeaving) this.#board.noteLeavingLife(incarnation, LeavingNews.Registry);
  }

  /** Takes an entry out; right after an outage only if it stays away. */
  remove(id: string, nowMs: number): void {
    const waitMs = this.#reregistrationUntilMs - nowMs;
    if (waitMs <= 0) {
      this.#removeNow(id);
      return;
    }
    if (this.#removals.has(id)) return;
    this.#removals.set(
      id,
      setTimeout(() => this.#removeNow(id), waitMs),
    );
  }

  /** Ends all waits. */
  stop(): void {
    this.#removals.forEach((timer) => clearTimeout(timer));
    this.#removals.clear();
  }

  #removeNow(id: string): void {
    this.#cancelRemoval(id);
    if (!this.#board.findUpstream(id)) return;
    this.#board.removeUpstream(id);
    this.#log.write(LogLevel.Info, LOG_PART, 'An upstream is gone.', { id });
  }

  #cancelRemoval(id: string): void {
    clearTimeout(this.#removals.get(id));
    this.#removals.delete(id);
  }
}
