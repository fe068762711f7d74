/**
 * Obtains this entry's permits from the grantor of each pool, and grants permits where this entry
 * is the grantor.
 *
 * All entries choose the grantor of a pool by the same hash among the entries that they are
 * connected to. An entry asks again before its last ask is outdated, so that the grantor knows who
 * follows it, and at once when a request begins to wait.
 */
import { createHash } from 'node:crypto';

import type { PermitAsk, PermitGrant } from '../../messages/permitMessage.js';
import { LogLevel, type Log } from '../../ports/log.js';
import type { Metrics } from '../../ports/metrics.js';
import type { Random } from '../../ports/random.js';
import type { FleetBoard } from '../fleetBoard.js';
import { isInService } from '../placement.js';

import { PermitGrantor, type LimitedUpstream } from './permitGrantor.js';

const LOG_PART = 'limits';

/** Interval at which tokens that have accrued are granted, in milliseconds. */
const TICK_MS = 20;

/** Interval at which an entry repeats its ask, in milliseconds. */
const ASK_INTERVAL_MS = 300;

/** Time in which requests that begin to wait are asked for together, in milliseconds. */
const BATCH_MS = 5;

/** Time span whose expected requests an entry obtains permits for in advance. */
const LOOKAHEAD_MS = 300;

/** Age of an ask from which the grants that answer it are outdated, in milliseconds. */
const GRANT_VALID_MS = 1_000;

/** Interval at which limits and permits of upstreams that are gone are removed. */
const PRUNE_INTERVAL_MS = 10_000;

/** Range of the numbers that tell the sessions of an entry apart. */
const SESSION_RANGE = 2 ** 31;

export interface PermitControllerOptions {
  readonly board: FleetBoard;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** This entry's relation to the grantor of one pool. */
interface Session {
  readonly grantor: string;
  readonly id: number;
  received: number;
  lastAskAtMs: number;
}

function hash(text: string): string {
  return createHash('sha1').update(text).digest('hex');
}

/**
 * Chooses the grantor of a pool: every entry with the same candidates chooses the same one. The
 * ranking of `membership/rendezvous` hashes by a native module, which the bundle cannot contain.
 */
export function chooseGrantor(pool: string, candidates: readonly string[]): string | undefined {
  const ranked = candidates.map((name) => ({ name, weight: hash(`${pool}/${name}`) }));
  return ranked.sort((a, b) => (a.weight < b.weight ? -1 : 1))[0]?.name;
}

/** Obtains and grants permits in one entry. */
export class PermitController {
  readonly #options: PermitControllerOptions;

  readonly #sessions = new Map<string, Session>();

  readonly #grantors = new Map<string, PermitGrantor>();

  /** Grantor of each pool, with the candidates among which it was chosen. */
  readonly #choices = new Map<string, { readonly key: string; readonly grantor: string }>();

  #timer: NodeJS.Timeout | undefined;

  #pruneAtMs = 0;

  #flushTimer: NodeJS.Timeout | undefined;

  readonly #hurriedPools = new Set<string>();

  constructor(options: PermitControllerOptions) {
    this.#options = options;
    const { limits, permits } = options.board;
    limits.addListener({ onChange: () => this.#updateTimer() });
    permits.onDemand((pool) => this.#hurry(pool));
    options.board.permitMessages.setReceiver({
      onAsk: (entry, ask) => this.#handleAsk(entry, ask),
      onGrant: (entry, grant) => this.#handleGrant(entry, grant),
      onPeerLost: (entry) => this.#grantors.forEach((grantor) => grantor.drop(entry)),
    });
  }

  stop(): void {
    clearInterval(this.#timer);
    clearTimeout(this.#flushTimer);
  }

  /** Runs only while some upstream has a limit. */
  #updateTimer(): void {
    const { limits } = this.#options.board;
    if (limits.limitedCount > 0) this.#timer ??= setInterval(() => this.#tick(), TICK_MS);
    else {
      clearInterval(this.#timer);
      this.#timer = undefined;
      this.#sessions.clear();
      this.#grantors.clear();
    }
  }

  #tick(): void {
    const nowMs = performance.now();
    this.#options.board.limits.listPools().forEach((pool) => this.#ask(pool, nowMs));
    this.#grantors.forEach((grantor, pool) => this.#grant(pool, grantor, nowMs));
    this.#prune(nowMs);
  }

  /** Asks before the next tick, as a request has begun to wait. */
  #hurry(pool: string): void {
    if (!this.#timer) return;
    this.#hurriedPools.add(pool);
    this.#flushTimer ??= setTimeout(() => {
      this.#flushTimer = undefined;
      const nowMs = performance.now();
      const limitedPools = new Set(this.#options.board.limits.listPools());
      [...this.#hurriedPools]
        .filter((each) => limitedPools.has(each))
        .forEach((each) => this.#ask(each, nowMs, true));
      this.#hurriedPools.clear();
    }, BATCH_MS);
  }

  #ask(pool: string, nowMs: number, isHurried = false): void {
    const session = this.#findSession(pool, nowMs);
    if (!isHurried && nowMs - session.lastAskAtMs < ASK_INTERVAL_MS) return;
    session.lastAskAtMs = nowMs;
    this.#send(session.grantor, this.#createAsk(pool, session, nowMs));
  }

  #createAsk(pool: string, { id, received }: Session, nowMs: number): PermitAsk {
    const { board, random } = this.#options;
    const demand = board.permits.getDemand(pool);
    const incarnations = this.#listLimited(pool, nowMs).map(({ incarnation }) => incarnation);
    const held = board.permits.held.countAll(incarnations, nowMs);
    const waiting = Math.max(0, demand.waiting - held);
    const expected = Math.floor(demand.expect(LOOKAHEAD_MS, nowMs) + random.next());
    const left = Math.max(0, held - demand.waiting);
    return {
      pool,
      session: id,
      waiting,
      expected: Math.max(0, expected - left),
      received,
      askedAtMs: nowMs,
    };
  }

  /** Returns the session with the current grantor, and ends the one with another before it. */
  #findSession(pool: string, nowMs: number): Session {
    const { log, random } = this.#options;
    const grantor = this.#findGrantorName(pool);
    const known = this.#sessions.get(pool);
    if (known?.grantor === grantor) return known;
    if (known) {
      const last = { ...this.#createAsk(pool, known, nowMs), isLast: true };
      this.#send(known.grantor, last);
    }
    const id = random.nextInt(SESSION_RANGE);
    const session = { grantor, id, received: 0, lastAskAtMs: Number.NEGATIVE_INFINITY };
    this.#sessions.set(pool, session);
    log.write(LogLevel.Info, LOG_PART, 'Grantor of request permits chosen.', { pool, grantor });
    return session;
  }

  /** Chooses the grantor anew only when the candidates have changed. */
  #findGrantorName(pool: string): string {
    const candidates = this.#candidates;
    const key = [pool, ...candidates].join(' ');
    const known = this.#choices.get(pool);
    if (known?.key === key) return known.grantor;
    const grantor = chooseGrantor(pool, candidates) ?? this.#options.board.name;
    this.#choices.set(pool, { key, grantor });
    return grantor;
  }

  /** Entries that can grant permits, as far as this one is connected to them. */
  get #candidates(): readonly string[] {
    const { name, isStopping, permitPeers, stoppingPeers } = this.#options.board;
    const peers = [...permitPeers].filter((peer) => !stoppingPeers.has(peer));
    if (isStopping && peers.length > 0) return peers;
    return [...peers, name];
  }

  #send(entry: string, ask: PermitAsk): void {
    const { board } = this.#options;
    if (entry === board.name) this.#handleAsk(entry, ask);
    else board.permitMessages.sendAsk(entry, ask);
  }

  #handleAsk(entry: string, ask: PermitAsk): void {
    const nowMs = performance.now();
    const grantor = this.#findGrantor(ask.pool);
    grantor.noteAsk(entry, ask, nowMs);
    if (ask.waiting > 0) this.#grant(ask.pool, grantor, nowMs, entry);
  }

  #findGrantor(pool: string): PermitGrantor {
    const known = this.#grantors.get(pool);
    if (known) return known;
    const grantor = new PermitGrantor({
      pool,
      listLimited: (nowMs) => this.#listLimited(pool, nowMs),
      getEntryCount: () => this.#options.board.entryCount,
      random: this.#options.random,
    });
    this.#grantors.set(pool, grantor);
    return grantor;
  }

  #grant(pool: string, grantor: PermitGrantor, nowMs: number, asking?: string): void {
    const { board, metrics } = this.#options;
    metrics.gauge('permits.followers', grantor.followerCount, { pool });
    grantor.grant(nowMs, asking).forEach((grant, entry) => {
      if (entry === board.name) this.#handleGrant(entry, grant);
      else board.permitMessages.sendGrant(entry, grant);
    });
  }

  #handleGrant(entry: string, grant: PermitGrant): void {
    const { board, metrics } = this.#options;
    const nowMs = performance.now();
    const session = this.#sessions.get(grant.pool);
    const isCurrent = session?.grantor === entry && session.id === grant.session;
    if (!session || !isCurrent || nowMs - grant.askedAtMs > GRANT_VALID_MS) {
      metrics.count('permits.outdated', { pool: grant.pool });
      return;
    }
    const counts = Object.values(grant.permits);
    session.received += counts.reduce((sum, count) => sum + count, 0);
    if (counts.length > 0) metrics.count('permits.grants', { pool: grant.pool });
    board.permits.addGrant(grant, nowMs);
  }

  /**
   * Limited upstreams of a pool that may get requests. Those that this entry's registry lacks are
   * included: others may have read a newer one.
   */
  #listLimited(pool: string, nowMs: number): readonly LimitedUpstream[] {
    const { board } = this.#options;
    const upstreams = board.listPool(pool);
    const unusable = new Set(
      upstreams
        .filter((each) => !isInService(board, each) || each.isBackingOff(nowMs))
        .map(({ incarnation }) => incarnation),
    );
    return board.limits.listLimited(pool).flatMap((incarnation) => {
      const perS = board.limits.find(incarnation);
      return perS === undefined || unusable.has(incarnation) ? [] : [{ incarnation, perS }];
    });
  }

  #prune(nowMs: number): void {
    if (nowMs < this.#pruneAtMs) return;
    this.#pruneAtMs = nowMs + PRUNE_INTERVAL_MS;
    const { limits, permits, upstreams } = this.#options.board;
    limits.prune(new Set(upstreams.map(({ incarnation }) => incarnation)));
    permits.held.prune(nowMs);
  }
}
