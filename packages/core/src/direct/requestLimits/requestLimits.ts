/**
 * Request limits that upstreams name in their answers: requests per second from all entries
 * together.
 *
 * Answers can overtake each other, so an answer without a limit ends one only if its request was
 * sent after the limit was last seen. A restarted upstream starts without a limit.
 */
import type { LimitNews } from '../../messages/permitMessage.js';
import type { NamedLimit } from '../../model/namedLimit.js';
import type { UpstreamEntry } from '../directUpstream.js';
import { formatIncarnation } from '../incarnation.js';

/** Maximum number of incarnations whose limits are remembered. */
const RECORDS_MAX = 16_384;

/** Time for which the limit of an upstream that the registry doesn't list is remembered. */
const UNLISTED_VALID_MS = 60_000;

/** Limit of one incarnation as it was last seen. */
export interface LimitRecord {
  readonly pool: string;
  /** Requests per second; undefined where the limit has ended. */
  readonly perS: number | undefined;
  /** When the answer arrived at the entry that received it. */
  readonly seenAtMs: number;
}

/** Events of request limits. */
export interface LimitListener {
  /** The limit of an incarnation was set, has changed or has ended. */
  readonly onChange?: (
    incarnation: string,
    record: LimitRecord,
    previousPerS: number | undefined,
  ) => void;
  readonly onInvalid?: (upstream: UpstreamEntry, detail: string) => void;
  /** A control call is sent to a limited upstream. */
  readonly onControlCall?: (rank: UpstreamEntry, path: string, perS: number) => void;
}

/** Limits of all upstreams, by incarnation, as an upstream may not be in the registry yet. */
export class RequestLimits {
  readonly #records = new Map<string, LimitRecord>();

  readonly #listeners: LimitListener[] = [];

  /** Incarnations that have a limit now. */
  readonly #limited = new Set<string>();

  #onNews: ((news: LimitNews) => void) | undefined;

  /** Sets the function that tells the other entries what an answer to this one has changed. */
  onNews(listener: (news: LimitNews) => void): void {
    this.#onNews = listener;
  }

  addListener(listener: LimitListener): void {
    this.#listeners.push(listener);
  }

  get limitedCount(): number {
    return this.#limited.size;
  }

  /** Requests per second that an incarnation takes; undefined where it names no limit. */
  find(incarnation: string): number | undefined {
    return this.#limited.size === 0 ? undefined : this.#records.get(incarnation)?.perS;
  }

  /**
   * Applies what an answer says.
   *
   * @param sentAtMs when the request of the answer was sent
   */
  noteAnswer(upstream: UpstreamEntry, named: NamedLimit, sentAtMs: number): void {
    if (!named.ok) {
      this.#listeners.forEach((listener) => listener.onInvalid?.(upstream, named.val));
      return;
    }
    const { pool } = upstream;
    const incarnation = formatIncarnation(upstream);
    const known = this.#records.get(incarnation);
    const perS = named.val;
    if (perS === undefined && (known?.perS === undefined || sentAtMs <= known.seenAtMs)) return;
    const isChanged = this.#put(incarnation, { pool, perS, seenAtMs: performance.now() });
    if (isChanged) this.#onNews?.({ incarnation, pool, perS, ageMs: 0 });
  }

  /**
   * Applies what the answer to a control call says. It can name a limit but not end one, as a rank
   * may name its limit only in answers to requests.
   */
  noteControlAnswer(rank: UpstreamEntry, named: NamedLimit, sentAtMs: number): void {
    if (named.err || named.val !== undefined) this.noteAnswer(rank, named, sentAtMs);
  }

  /** Applies what another entry has seen, unless a later answer is known. */
  applyNews({ incarnation, pool, perS, ageMs }: LimitNews): void {
    const seenAtMs = performance.now() - ageMs;
    const known = this.#records.get(incarnation);
    if (known ? known.seenAtMs >= seenAtMs : perS === undefined) return;
    this.#put(incarnation, { pool, perS, seenAtMs });
  }

  /**
   * Lists all that is known, for an entry that has just connected. Limits that have ended are
   * included, as the other entry may not have heard of their end.
   */
  listNews(): readonly LimitNews[] {
    const nowMs = performance.now();
    return [...this.#records].map(([incarnation, { pool, perS, seenAtMs }]) => ({
      incarnation,
      pool,
      perS,
      ageMs: nowMs - seenAtMs,
    }));
  }

  /** Pools in which an upstream has a limit now. */
  listPools(): readonly string[] {
    const pools = [...this.#limited].flatMap((each) => this.#records.get(each)?.pool ?? []);
    return [...new Set(pools)];
  }

  /** Incarnations of a pool that have a limit now, in the registry or not. */
  listLimited(pool: string): readonly string[] {
    return [...this.#limited].filter((each) => this.#records.get(each)?.pool === pool);
  }

  /** Forgets an incarnation, as it is gone. */
  forget(incarnation: string): void {
    const record = this.#records.get(incarnation);
    this.#records.delete(incarnation);
    if (!record || !this.#limited.delete(incarnation)) return;
    const ended = { ...record, perS: undefined };
    this.#listeners.forEach((listener) => listener.onChange?.(incarnation, ended, record.perS));
  }

  /** Forgets incarnations that are not in the registry and were last seen long ago. */
  prune(listed: ReadonlySet<string>): void {
    const oldestMs = performance.now() - UNLISTED_VALID_MS;
    [...this.#records]
      .filter(([incarnation, { seenAtMs }]) => seenAtMs < oldestMs && !listed.has(incarnation))
      .forEach(([incarnation]) => this.forget(incarnation));
  }

  /** Records a control call to a rank. */
  noteControlCall(rank: UpstreamEntry, path: string): void {
    const perS = this.find(formatIncarnation(rank));
    if (perS === undefined) return;
    this.#listeners.forEach((listener) => listener.onControlCall?.(rank, path, perS));
  }

  /** @returns whether the limit has changed */
  #put(incarnation: string, record: LimitRecord): boolean {
    const previous = this.#records.get(incarnation)?.perS;
    this.#records.delete(incarnation);
    this.#records.set(incarnation, record);
    if (record.perS === undefined) this.#limited.delete(incarnation);
    else this.#limited.add(incarnation);
    this.#evictOldest();
    if (previous === record.perS) return false;
    this.#listeners.forEach((listener) => listener.onChange?.(incarnation, record, previous));
    return true;
  }

  #evictOldest(): void {
    const [oldest] = this.#records.keys();
    if (oldest === undefined || this.#records.size <= RECORDS_MAX) return;
    this.#records.delete(oldest);
    this.#limited.delete(oldest);
  }
}
