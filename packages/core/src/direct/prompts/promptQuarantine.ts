/**
 * Quarantine of prompt parts that crash upstreams, in all pools of an entry.
 *
 * Entries tell each other which parts were involved in a crash, which of these were served, and
 * which are being tried out, so that one crash is enough for all of them.
 */
import type { PromptNews } from '../../messages/message.js';

import type { Crash } from './crashSuspicion.js';
import { PoolQuarantine, type Hold } from './poolQuarantine.js';

/** Changes of the quarantine, for logs and metrics. */
export interface QuarantineListener {
  readonly onHold: (pool: string, hold: Hold) => void;
  readonly onRelease: (pool: string, part: string) => void;
  readonly onTrial: (pool: string, part: string, request: string) => void;
}

function describeCrash({ upstream, atMs, weights }: Crash, nowMs: number) {
  return { upstream, ageMs: nowMs - atMs, weights: Object.fromEntries(weights) };
}

/** Quarantine of all pools. */
export class PromptQuarantine {
  readonly #pools = new Map<string, PoolQuarantine>();

  readonly #listeners: QuarantineListener[] = [];

  #onHold: (() => void) | undefined;

  #onNews: ((news: PromptNews) => void) | undefined;

  #onPeerCrash: ((pool: string, crash: Crash) => void) | undefined;

  addListener(listener: QuarantineListener): void {
    this.#listeners.push(listener);
  }

  /** Sets the listener that applies a new hold to the requests in progress. */
  onHold(listener: () => void): void {
    this.#onHold = listener;
  }

  /** Sets the function that tells the other entries. */
  onNews(listener: (news: PromptNews) => void): void {
    this.#onNews = listener;
  }

  /** Sets the listener for crashes that other entries have observed. */
  onPeerCrash(listener: (pool: string, crash: Crash) => void): void {
    this.#onPeerCrash = listener;
  }

  noteArrival(pool: string, parts: readonly string[]): void {
    if (parts.length > 0) this.#findPool(pool).noteArrival(parts);
  }

  /** Records that an answer on these parts has passed its beginning. */
  noteServed(pool: string, parts: readonly string[]): void {
    const nowMs = performance.now();
    const quarantine = this.#findPool(pool);
    const involved = parts.filter((part) => quarantine.noteServed(part, nowMs, nowMs));
    if (involved.length > 0) this.#tellServed(pool, involved, nowMs);
  }

  /** Records a crash that this entry has observed. */
  noteCrash(pool: string, crash: Crash): void {
    const nowMs = performance.now();
    this.#findPool(pool).noteCrash(crash, nowMs);
    this.#onNews?.({ pool, crashes: [describeCrash(crash, nowMs)] });
    this.#tellServed(pool, [...crash.weights.keys()], nowMs);
  }

  /** @see PoolQuarantine.check */
  check(pool: string, parts: readonly string[], request: string, nowMs: number) {
    return parts.length > 0 ? this.#findPool(pool).check(parts, request, nowMs) : undefined;
  }

  endTrial(pool: string, request: string): void {
    this.#findPool(pool).endTrial(request);
  }

  /** Applies what another entry tells. */
  applyNews({
    pool,
    crashes = [],
    servedAgesMs = {},
    trials = [],
    holdsMs = {},
  }: PromptNews): void {
    const nowMs = performance.now();
    const quarantine = this.#findPool(pool);
    Object.entries(servedAgesMs).forEach(([part, ageMs]) =>
      quarantine.noteServed(part, nowMs - ageMs, nowMs),
    );
    crashes.forEach(({ upstream, ageMs, weights }) => {
      const crash = { upstream, atMs: nowMs - ageMs, weights: new Map(Object.entries(weights)) };
      quarantine.noteCrash(crash, nowMs);
      this.#tellServed(pool, [...crash.weights.keys()], nowMs);
      this.#onPeerCrash?.(pool, crash);
    });
    Object.entries(holdsMs).forEach(([part, heldMs]) =>
      quarantine.notePeerHold(part, nowMs + heldMs),
    );
    trials.forEach((part) => quarantine.notePeerTrial(part, nowMs));
  }

  /** Lists all that an entry that has just connected needs to know. */
  listNews(): readonly PromptNews[] {
    const nowMs = performance.now();
    return [...this.#pools]
      .filter(([, quarantine]) => quarantine.crashes.length > 0)
      .map(([pool, quarantine]) => ({
        pool,
        crashes: quarantine.crashes.map((crash) => describeCrash(crash, nowMs)),
        servedAgesMs: this.#listServedAges(
          pool,
          quarantine.crashes.flatMap(({ weights }) => [...weights.keys()]),
          nowMs,
        ),
        holdsMs: Object.fromEntries(
          quarantine.holds.map(({ part, untilMs }) => [part, Math.max(0, untilMs - nowMs)]),
        ),
        trials: quarantine.listTrials(nowMs),
      }));
  }

  #tellServed(pool: string, parts: readonly string[], nowMs: number): void {
    const servedAgesMs = this.#listServedAges(pool, parts, nowMs);
    if (Object.keys(servedAgesMs).length > 0) this.#onNews?.({ pool, servedAgesMs });
  }

  #listServedAges(
    pool: string,
    parts: readonly string[],
    nowMs: number,
  ): Readonly<Record<string, number>> {
    const quarantine = this.#findPool(pool);
    const ages = parts.flatMap((part) => {
      const servedAtMs = quarantine.findServedAt(part);
      return servedAtMs === undefined ? [] : [[part, nowMs - servedAtMs] as const];
    });
    return Object.fromEntries(ages);
  }

  #findPool(pool: string): PoolQuarantine {
    const known = this.#pools.get(pool);
    if (known) return known;
    const quarantine = new PoolQuarantine({
      onHold: (hold) => {
        this.#listeners.forEach((listener) => listener.onHold(pool, hold));
        this.#onHold?.();
      },
      onRelease: (part) => this.#listeners.forEach((listener) => listener.onRelease(pool, part)),
      onTrial: (part, request) => {
        this.#onNews?.({ pool, trials: [part] });
        this.#listeners.forEach((listener) => listener.onTrial(pool, part, request));
      },
    });
    this.#pools.set(pool, quarantine);
    return quarantine;
  }
}
