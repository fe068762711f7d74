/**
 * Grants the permits of one pool: one entry distributes what its limited upstreams take to all
 * entries that follow it.
 *
 * Each limited upstream has a token bucket that fills at its limit. Requests that wait in any entry
 * come first, then those that the entries expect soon. An entry that no link connects to the others
 * grants itself its own part only: with at most half of the registered entries as followers, a
 * grantor issues their part of each limit. Thus two grantors together stay below one and a half
 * limits, however the entries are divided.
 */
import type { PermitAsk, PermitGrant } from '../../messages/permitMessage.js';
import { refillForLimit } from '../../limits/limitRate.js';
import { TokenBucket } from '../../limits/tokenBucket.js';
import type { Random } from '../../ports/random.js';

/** Time without an ask after which an entry no longer follows a grantor, in milliseconds. */
const FOLLOWER_TIMEOUT_MS = 1_200;

/** Time for which a token of a partial share can be used, in milliseconds. */
const PARTIAL_TOKEN_VALID_MS = 600;

/** A limited upstream that is in service. */
export interface LimitedUpstream {
  readonly incarnation: string;
  readonly perS: number;
}

export interface PermitGrantorOptions {
  readonly pool: string;
  readonly listLimited: (nowMs: number) => readonly LimitedUpstream[];
  /** Number of registered entries. */
  readonly getEntryCount: () => number;
  readonly random: Random;
}

interface Follower {
  readonly session: number;
  ask: PermitAsk;
  askedAtMs: number;
  /** Permits granted in this session. */
  granted: number;
  lastGrantAtMs: number;
}

/** What a follower still needs, and what it gets in this round. */
interface Need {
  readonly entry: string;
  readonly follower: Follower;
  waiting: number;
  expected: number;
  readonly permits: Record<string, number>;
}

/** Entries with waiting requests come first; of these, the one whose last permit is the oldest. */
function chooseNeed(needs: readonly Need[]): Need | undefined {
  const urgent = needs.filter(({ waiting }) => waiting > 0);
  const candidates = urgent.length > 0 ? urgent : needs.filter(({ expected }) => expected > 0);
  return candidates.reduce<Need | undefined>(
    (oldest, each) =>
      oldest && oldest.follower.lastGrantAtMs <= each.follower.lastGrantAtMs ? oldest : each,
    undefined,
  );
}

function assignPermit(need: Need, incarnation: string, nowMs: number): void {
  const { follower, permits } = need;
  if (need.waiting > 0) Object.assign(need, { waiting: need.waiting - 1 });
  else Object.assign(need, { expected: need.expected - 1 });
  permits[incarnation] = (permits[incarnation] ?? 0) + 1;
  follower.granted += 1;
  follower.lastGrantAtMs = nowMs;
}

/** Grants the permits of one pool. */
export class PermitGrantor {
  readonly #options: PermitGrantorOptions;

  readonly #followers = new Map<string, Follower>();

  readonly #buckets = new Map<string, TokenBucket>();

  constructor(options: PermitGrantorOptions) {
    this.#options = options;
  }

  get followerCount(): number {
    return this.#followers.size;
  }

  /** Records what an entry needs. */
  noteAsk(entry: string, ask: PermitAsk, nowMs: number): void {
    if (ask.isLast) {
      this.#followers.delete(entry);
      return;
    }
    const known = this.#followers.get(entry);
    if (known?.session === ask.session) Object.assign(known, { ask, askedAtMs: nowMs });
    else {
      this.#followers.set(entry, {
        session: ask.session,
        ask,
        askedAtMs: nowMs,
        granted: 0,
        lastGrantAtMs: Number.NEGATIVE_INFINITY,
      });
    }
  }

  /** Drops an entry whose link was lost. */
  drop(entry: string): void {
    this.#followers.delete(entry);
  }

  /**
   * Distributes the tokens that are available.
   *
   * @param asking entry that gets an answer in any case
   * @returns what each entry gets
   */
  grant(nowMs: number, asking?: string): ReadonlyMap<string, PermitGrant> {
    this.#dropSilent(nowMs);
    this.#refill(nowMs);
    const needs = this.#listNeeds();
    for (let next = chooseNeed(needs); next; next = chooseNeed(needs)) {
      const incarnation = this.#takeToken();
      if (incarnation === undefined) break;
      assignPermit(next, incarnation, nowMs);
    }
    const fleetWaiting = needs.reduce((sum, { waiting }) => sum + waiting, 0);
    return new Map(
      needs
        .filter(({ entry, permits }) => entry === asking || Object.keys(permits).length > 0)
        .map(({ entry, follower, permits }) => [
          entry,
          {
            pool: this.#options.pool,
            session: follower.session,
            askedAtMs: follower.ask.askedAtMs,
            permits,
            fleetWaiting,
          },
        ]),
    );
  }

  #dropSilent(nowMs: number): void {
    this.#followers.forEach(({ askedAtMs }, entry) => {
      if (nowMs - askedAtMs > FOLLOWER_TIMEOUT_MS) this.#followers.delete(entry);
    });
  }

  /** Part of each limit that this grantor issues. */
  get #share(): number {
    const followers = this.#followers.size;
    const entries = Math.max(followers, this.#options.getEntryCount());
    return followers * 2 > entries ? 1 : followers / entries;
  }

  #refill(nowMs: number): void {
    const limited = this.#options.listLimited(nowMs);
    const present = new Set(limited.map(({ incarnation }) => incarnation));
    [...this.#buckets.keys()]
      .filter((incarnation) => !present.has(incarnation))
      .forEach((incarnation) => this.#buckets.delete(incarnation));
    const share = this.#share;
    limited.forEach(({ incarnation, perS }) => {
      const bucket = this.#findBucket(incarnation, nowMs);
      refillForLimit(bucket, perS, share, nowMs);
      // Others without links would keep such tokens as well, and use all of them at once.
      const isLapsed = share < 1 && bucket.readReadyMs(nowMs) > PARTIAL_TOKEN_VALID_MS;
      if (isLapsed) bucket.take();
    });
  }

  /**
   * A new bucket is filled in part at random, so that entries which grant themselves their part of
   * one limit don't do so at the same time.
   */
  #findBucket(incarnation: string, nowMs: number): TokenBucket {
    const known = this.#buckets.get(incarnation);
    if (known) return known;
    const bucket = new TokenBucket(this.#options.random.next(), nowMs);
    this.#buckets.set(incarnation, bucket);
    return bucket;
  }

  /** Takes a token of the upstream that has most. */
  #takeToken(): string | undefined {
    const [fullest] = [...this.#buckets].reduce<[string, TokenBucket] | []>(
      (most, each) => (each[1].tokens >= (most[1]?.tokens ?? 1) ? each : most),
      [],
    );
    if (fullest !== undefined) this.#buckets.get(fullest)?.take();
    return fullest;
  }

  #listNeeds(): readonly Need[] {
    return [...this.#followers].map(([entry, follower]) => {
      const { waiting, expected, received } = follower.ask;
      const inTransit = Math.max(0, follower.granted - received);
      return {
        entry,
        follower,
        waiting: Math.max(0, waiting - inTransit),
        expected: Math.max(0, expected - Math.max(0, inTransit - waiting)),
        permits: {},
      };
    });
  }
}
