/**
 * Quarantine of one pool's prompt parts: requests with a part that probably crashes upstreams are
 * held back.
 *
 * A part is held for as long as the expected cost of its refusals stays below that of a crash: a
 * common part for a short time, a rare one for longer. After that a single request is let through
 * as a trial. If it is served, the part is released; if it crashes an upstream, the part is held
 * for longer.
 */
import { ArrivalSample } from './arrivalSample.js';
import { computeSuspicions, type Crash, type Suspicion } from './crashSuspicion.js';
import { ServedParts } from './servedParts.js';

/** Probability from which a part is held. */
const HOLD_PROBABILITY = 0.5;

/** Time for which a crash takes a pool out of service, in milliseconds. */
const CRASH_COST_MS = 4_000;

/** Longest time for which a part is held after its first incident; it doubles with each further. */
const FIRST_HOLD_MAX_MS = 60_000;

/** Time in which a trial is decided, in milliseconds. */
const TRIAL_MS = 5_000;

/** Time after a crash in which entries still report what was involved, in milliseconds. */
const REPORTS_MS = 300;

/** Time for which a crash is remembered, in milliseconds. */
const CRASH_VALID_MS = 600_000;

/** Maximum number of crashes that are remembered; the oldest are forgotten first. */
const CRASHES_MAX = 64;

/** A part that is held back. */
export interface Hold {
  readonly part: string;
  readonly suspicion: Suspicion;
  readonly untilMs: number;
}

/** A trial of a held part. */
interface Trial {
  /** Request of this entry; undefined where another entry makes the trial. */
  readonly request: string | undefined;
  readonly endAtMs: number;
}

export interface PoolQuarantineEvents {
  readonly onHold: (hold: Hold) => void;
  readonly onRelease: (part: string) => void;
  readonly onTrial: (part: string, request: string) => void;
}

function mergeWeights(one: Crash, other: Crash): ReadonlyMap<string, number> {
  const merged = new Map(one.weights);
  other.weights.forEach((weight, part) => {
    merged.set(part, Math.max(weight, merged.get(part) ?? 0));
  });
  return merged;
}

function chooseHoldMs({ probability, incidents }: Suspicion, share: number): number {
  const odds = probability / Math.max(Number.EPSILON, 1 - probability);
  const longestMs = FIRST_HOLD_MAX_MS * 2 ** (incidents - 1);
  return Math.min(longestMs, (CRASH_COST_MS * odds) / share);
}

/** Quarantine of one pool. */
export class PoolQuarantine {
  readonly #events: PoolQuarantineEvents;

  readonly #served = new ServedParts();

  readonly #arrivals = new ArrivalSample();

  /** By the crashed incarnation. */
  readonly #crashes = new Map<string, Crash>();

  readonly #holds = new Map<string, Hold>();

  readonly #trials = new Map<string, Trial>();

  /** When the reports of the latest crash are complete, if holds depend on it. */
  #reassessAtMs = Number.POSITIVE_INFINITY;

  constructor(events: PoolQuarantineEvents) {
    this.#events = events;
  }

  get crashes(): readonly Crash[] {
    return [...this.#crashes.values()];
  }

  get holds(): readonly Hold[] {
    return [...this.#holds.values()];
  }

  /** Lists the parts that are being tried out. */
  listTrials(nowMs: number): readonly string[] {
    const running = [...this.#trials].filter(([, { endAtMs }]) => nowMs < endAtMs);
    return running.map(([part]) => part);
  }

  noteArrival(parts: readonly string[]): void {
    this.#arrivals.add(parts);
  }

  /** When a part was last served; undefined if never. */
  findServedAt(part: string): number | undefined {
    return this.#served.find(part);
  }

  /** @returns whether this bears on a crash, so that other entries need to know */
  noteServed(part: string, atMs: number, nowMs: number): boolean {
    const beforeMs = this.#served.find(part) ?? Number.NEGATIVE_INFINITY;
    this.#served.note(part, atMs);
    const isNews = this.crashes.some(
      (crash) => crash.weights.has(part) && beforeMs <= crash.atMs && beforeMs < atMs,
    );
    if (isNews) this.#reassess(nowMs);
    return isNews;
  }

  /** Adds a crash, or further parts that were involved in a known one. */
  noteCrash(crash: Crash, nowMs: number): void {
    const known = this.#crashes.get(crash.upstream);
    const merged = known ? { ...known, weights: mergeWeights(known, crash) } : crash;
    this.#crashes.set(crash.upstream, merged);
    this.#forgetOldCrashes(nowMs);
    this.#reassess(nowMs);
  }

  /** Extends a hold to the time of another entry, which may have seen more requests. */
  notePeerHold(part: string, untilMs: number): void {
    const known = this.#holds.get(part);
    if (known && known.untilMs < untilMs) this.#holds.set(part, { ...known, untilMs });
  }

  /** Records that another entry tries out a part. */
  notePeerTrial(part: string, nowMs: number): void {
    this.#trials.set(part, { request: undefined, endAtMs: nowMs + TRIAL_MS });
  }

  /**
   * Finds a part for which a request is held back. If all of its held parts are due for a trial,
   * the request becomes the trial.
   *
   * @returns the hold, and when the request can return; undefined if the request may be sent
   */
  check(
    parts: readonly string[],
    request: string,
    nowMs: number,
  ): { readonly hold: Hold; readonly untilMs: number } | undefined {
    if (this.#holds.size === 0) return undefined;
    if (nowMs >= this.#reassessAtMs) this.#reassess(nowMs);
    const holds = parts.flatMap((part) => this.#holds.get(part) ?? []);
    const blocking = holds
      .map((hold) => ({ hold, untilMs: this.#findHeldUntilMs(hold, request, nowMs) }))
      .find(({ untilMs }) => untilMs > nowMs);
    if (!blocking) holds.forEach(({ part }) => this.#startTrial(part, request, nowMs));
    return blocking;
  }

  /** Ends the trials that a request was. */
  endTrial(request: string): void {
    this.#trials.forEach((trial, part) => {
      if (trial.request === request) this.#trials.delete(part);
    });
  }

  #findHeldUntilMs({ part, untilMs }: Hold, request: string, nowMs: number): number {
    if (nowMs < untilMs) return untilMs;
    const trial = this.#trials.get(part);
    return trial && trial.request !== request ? trial.endAtMs : untilMs;
  }

  #startTrial(part: string, request: string, nowMs: number): void {
    if (this.#trials.get(part)?.request === request) return;
    this.#trials.set(part, { request, endAtMs: nowMs + TRIAL_MS });
    this.#events.onTrial(part, request);
  }

  #forgetOldCrashes(nowMs: number): void {
    const newestFirst = this.crashes.slice().sort((a, b) => b.atMs - a.atMs);
    newestFirst
      .filter(({ atMs }, at) => at >= CRASHES_MAX || nowMs - atMs > CRASH_VALID_MS)
      .forEach(({ upstream }) => this.#crashes.delete(upstream));
  }

  #reassess(nowMs: number): void {
    const suspicions = computeSuspicions(this.crashes, (part) => this.#served.find(part));
    suspicions.forEach((suspicion, part) => {
      if (suspicion.probability >= HOLD_PROBABILITY) this.#hold(part, suspicion, nowMs);
    });
    this.#releaseUnsuspected(suspicions, nowMs);
  }

  /** Releases cleared parts at once, others only when the reports of the crash are complete. */
  #releaseUnsuspected(suspicions: ReadonlyMap<string, Suspicion>, nowMs: number): void {
    const lastCrashAtMs = Math.max(...this.crashes.map(({ atMs }) => atMs));
    const isComplete = nowMs >= lastCrashAtMs + REPORTS_MS;
    const unsuspected = [...this.#holds.keys()].filter(
      (part) => (suspicions.get(part)?.probability ?? 0) < HOLD_PROBABILITY,
    );
    const released = unsuspected.filter((part) => isComplete || !suspicions.has(part));
    released.forEach((part) => this.#release(part));
    const hasUndecided = released.length < unsuspected.length;
    this.#reassessAtMs = hasUndecided ? lastCrashAtMs + REPORTS_MS : Number.POSITIVE_INFINITY;
  }

  /** Starts a hold, or extends it after a further crash. */
  #hold(part: string, suspicion: Suspicion, nowMs: number): void {
    const known = this.#holds.get(part);
    if (known && known.suspicion.lastCrashAtMs >= suspicion.lastCrashAtMs) return;
    const untilMs =
      suspicion.lastCrashAtMs + chooseHoldMs(suspicion, this.#arrivals.readShare(part));
    const hold = { part, suspicion, untilMs: Math.max(untilMs, known?.untilMs ?? nowMs) };
    this.#holds.set(part, hold);
    this.#trials.delete(part);
    this.#events.onHold(hold);
  }

  #release(part: string): void {
    this.#holds.delete(part);
    this.#trials.delete(part);
    this.#events.onRelease(part);
  }
}
