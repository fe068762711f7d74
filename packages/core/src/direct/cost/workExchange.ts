/**
 * Tells the peers how much work this entry has left at upstreams, and applies what they tell.
 *
 * A start, a first output and an end are told with the next batch. Progress between them is told
 * with full counts only, as the receiver ages the work by itself. Of pools that are too large to
 * look at all upstreams at a choice nothing is told, which keeps messages small: there the requests
 * of others count as usual ones.
 */
import { SCAN_MAX } from '../candidateSample.js';
import type { DirectUpstream } from '../directUpstream.js';
import { PeerState, type CountsFields, type CountsMessage } from '../peerState.js';

import { AttemptWork, type AttemptWorkOptions } from './attemptWork.js';
import type { PassClock } from './workLeft.js';

export interface WorkExchangeOptions {
  readonly findUpstream: (id: string) => DirectUpstream | undefined;
  /** Time of a pass of a pool; undefined before the first one. */
  readonly readPassMs: (pool: string) => number | undefined;
  /** Number of upstreams of a pool. */
  readonly countPool: (pool: string) => number;
}

/** Work left at all upstreams, exchanged among entries. */
export class WorkExchange extends PeerState {
  readonly #options: WorkExchangeOptions;

  /** Upstreams with work of this entry. */
  readonly #active = new Set<DirectUpstream>();

  readonly #changed = new Set<DirectUpstream>();

  /** Upstreams with work of a peer. */
  readonly #byPeer = new Map<string, Set<DirectUpstream>>();

  /** Whole state of a moment, as it goes to every peer. */
  #full: { readonly atMs: number; readonly fields: CountsFields } | undefined;

  constructor(options: WorkExchangeOptions) {
    super();
    this.#options = options;
  }

  begin(upstream: DirectUpstream, options: AttemptWorkOptions): AttemptWork {
    const attempt = new AttemptWork(options);
    upstream.work.begin(attempt);
    this.#active.add(upstream);
    this.#noteChanged(upstream);
    return attempt;
  }

  noteFirstOutput(upstream: DirectUpstream, attempt: AttemptWork): void {
    attempt.noteFirstOutput();
    this.#noteChanged(upstream);
  }

  end(upstream: DirectUpstream, attempt: AttemptWork): void {
    upstream.work.end(attempt);
    if (upstream.work.ownCount === 0) this.#active.delete(upstream);
    this.#noteChanged(upstream);
  }

  override readFull(nowMs: number): CountsFields {
    if (this.#full?.atMs === nowMs) return this.#full.fields;
    const fields = this.#describe(this.#active, nowMs);
    this.#full = { atMs: nowMs, fields };
    return fields;
  }

  override takeChanges(nowMs: number): CountsFields | undefined {
    if (this.#changed.size === 0) return undefined;
    const fields = this.#describe(this.#changed, nowMs);
    this.#changed.clear();
    return fields;
  }

  override apply({ entry, isFull, work }: CountsMessage, nowMs: number): void {
    if (isFull) this.dropPeer(entry);
    if (!work) return;
    const upstreams = this.#byPeer.get(entry) ?? new Set();
    this.#byPeer.set(entry, upstreams);
    Object.entries(work).forEach(([id, news]) => {
      const upstream = this.#options.findUpstream(id);
      if (!upstream) return;
      upstream.work.setPeer(entry, news, nowMs);
      upstreams.add(upstream);
    });
  }

  override dropPeer(entry: string): void {
    this.#byPeer.get(entry)?.forEach(({ work }) => work.removePeer(entry));
    this.#byPeer.delete(entry);
  }

  /** Describes the work at upstreams that are in the registry; attempts can outlive their entry. */
  #describe(upstreams: ReadonlySet<DirectUpstream>, nowMs: number): CountsFields {
    const { findUpstream, readPassMs } = this.#options;
    const work = [...upstreams]
      .filter((upstream) => findUpstream(upstream.id) === upstream && this.#isTold(upstream))
      .map(({ id, entry: { pool }, work: left }) => {
        const clock: PassClock = { nowMs, passMs: readPassMs(pool), stepsPerPass: 0 };
        return [id, left.describeOwn(clock)] as const;
      });
    return { work: Object.fromEntries(work) };
  }

  #isTold({ entry: { pool } }: DirectUpstream): boolean {
    return this.#options.countPool(pool) <= SCAN_MAX;
  }

  #noteChanged(upstream: DirectUpstream): void {
    if (!this.#isTold(upstream)) return;
    this.#changed.add(upstream);
    this.#full = undefined;
    this.noteChange();
  }
}
