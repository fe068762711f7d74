/**
 * Updates the upstreams on the blackboard from the platform's registry.
 *
 * A registry entry may expire during a platform outage although its upstream is alive, and reappear
 * soon after. Upstreams that are missing right after an outage are therefore kept for a short time.
 * An incarnation that has started to leave does not become available again, even if an outdated
 * message says so. When the platform returns from an older copy, upstreams that the copy lacks are
 * kept for the same time, and removed ones that it still has are ignored until they are written
 * again.
 */
import { LogLevel, type Log } from '../ports/log.js';

import type { UpstreamEntry } from './directUpstream.js';
import { LeavingSource, type FleetBoard } from './fleetBoard.js';
import { formatIncarnation } from './incarnation.js';

const LOG_PART = 'membership';

/** Time after an outage in which live upstreams register again, with a margin, in milliseconds. */
const REREGISTRATION_MS = 2_200;

/** Maximum number of removed incarnations that are remembered. */
const REMOVED_INCARNATIONS_MAX = 4_096;

/** Upstreams on the blackboard of one entry. */
export class UpstreamRegistry {
  readonly #board: FleetBoard;

  readonly #log: Log;

  readonly #removals = new Map<string, NodeJS.Timeout>();

  /** Incarnations that were removed and not registered again; the oldest come first. */
  readonly #removedIncarnations = new Set<string>();

  #reregistrationUntilMs = Number.NEGATIVE_INFINITY;

  constructor(board: FleetBoard, log: Log) {
    this.#board = board;
    this.#log = log;
    board.onLeaving(({ entry: { id, pool } }, source) => {
      log.write(LogLevel.Info, LOG_PART, 'Upstream is leaving.', { id, pool, news: source });
    });
  }

  /** Records that the platform is available again after an outage. */
  notePlatformRecovery(nowMs: number): void {
    this.#reregistrationUntilMs = nowMs + REREGISTRATION_MS;
  }

  /** Replaces all upstreams by the given registry entries. */
  replaceAll(entries: readonly UpstreamEntry[], nowMs: number): void {
    const present = new Set(entries.map(({ id }) => id));
    entries.forEach((entry) => this.put(entry));
    this.#board.upstreams
      .filter(({ id }) => !present.has(id))
      .forEach(({ id }) => this.remove(id, nowMs));
    this.#board.hasReadRegistry = true;
  }

  /** Replaces all upstreams by the entries of an older copy of the registry. */
  replaceAllFromCopy(entries: readonly UpstreamEntry[], nowMs: number): void {
    this.notePlatformRecovery(nowMs);
    const isRemoved = (entry: UpstreamEntry) =>
      this.#removedIncarnations.has(formatIncarnation(entry));
    this.replaceAll(
      entries.filter((entry) => !isRemoved(entry)),
      nowMs,
    );
  }

  /** Adds or updates one registry entry. */
  put(entry: UpstreamEntry): void {
    const known = this.#board.findUpstream(entry.id)?.entry;
    if (known && entry.startedAtUnixMs < known.startedAtUnixMs) return;
    this.#cancelRemoval(entry.id);
    const incarnation = formatIncarnation(entry);
    this.#removedIncarnations.delete(incarnation);
    const isLeaving = entry.isLeaving || this.#board.isLeavingIncarnation(incarnation);
    if (!known || formatIncarnation(known) !== incarnation) {
      const { id, pool, domain, address, coldForMs } = entry;
      const fields = { id, pool, domain, address, coldForMs, isLeaving };
      this.#log.write(LogLevel.Info, LOG_PART, 'Upstream added.', fields);
    }
    this.#board.putUpstream({ ...entry, isLeaving });
    if (isLeaving) this.#board.noteLeavingIncarnation(incarnation, LeavingSource.Registry);
  }

  /** Removes an upstream; right after an outage only if it is not registered again in time. */
  remove(id: string, nowMs: number): void {
    const waitMs = this.#reregistrationUntilMs - nowMs;
    if (waitMs <= 0) {
      this.#removeNow(id);
      return;
    }
    clearTimeout(this.#removals.get(id));
    this.#removals.set(
      id,
      setTimeout(() => this.#removeNow(id), waitMs),
    );
  }

  /** Cancels all pending removals. */
  stop(): void {
    this.#removals.forEach((timer) => clearTimeout(timer));
    this.#removals.clear();
  }

  #removeNow(id: string): void {
    this.#cancelRemoval(id);
    const upstream = this.#board.findUpstream(id);
    if (!upstream) return;
    this.#board.removeUpstream(id);
    this.#rememberRemoval(upstream.incarnation);
    this.#log.write(LogLevel.Info, LOG_PART, 'Upstream removed.', { id });
  }

  #rememberRemoval(incarnation: string): void {
    this.#removedIncarnations.add(incarnation);
    const [oldest] = this.#removedIncarnations;
    if (oldest === undefined || this.#removedIncarnations.size <= REMOVED_INCARNATIONS_MAX) return;
    this.#removedIncarnations.delete(oldest);
  }

  #cancelRemoval(id: string): void {
    clearTimeout(this.#removals.get(id));
    this.#removals.delete(id);
  }
}
