/** State of one upstream that entries call themselves, as known to this entry. */
import { UpstreamPace } from './cost/upstreamPace.js';
import { UpstreamWork } from './cost/upstreamWork.js';
import { formatIncarnation } from './incarnation.js';
import { StartRate } from './startRate.js';
import { OutlierEjection } from './outlierEjection.js';

/** Entry of an upstream in the platform's registry. */
export interface UpstreamEntry {
  readonly id: string;
  /** IP address and port. */
  readonly address: string;
  readonly domain: string;
  readonly pool: string;
  /** Requests that the upstream works on at the same time. */
  readonly slots: number;
  /** Whether it is about to stop and accepts no new requests. */
  readonly isLeaving: boolean;
  /** Unix time of its start in milliseconds; 0 where unknown. A new one means a new incarnation. */
  readonly startedAtUnixMs: number;
  /** Time for which it is still cold, as it reported when it registered; 0 where it is warm. */
  readonly coldForMs: number;
}

/** Load that an upstream reports with a response. */
export interface UpstreamLoad {
  readonly running: number;
  readonly waiting: number;
}

/**
 * Age from which a reported load is outdated, in milliseconds: about the duration of one stream.
 */
const LOAD_REPORT_VALID_MS = 1_500;

/** Age from which a reported slowdown is outdated, in milliseconds: a few surveys of the ranks. */
const SLOWDOWN_VALID_MS = 6_000;

/**
 * Largest slowdown that is believed. A slowdown fades by its size, so an excessive value in a
 * message would last for minutes, and could exceed the range of numbers in the costs.
 */
const SLOWDOWN_MAX = 100;

/** State of one upstream in this entry. */
export class DirectUpstream {
  readonly startRate = new StartRate();

  readonly ejection = new OutlierEjection();

  /** Pace as observed by this entry. */
  readonly pace = new UpstreamPace();

  /** Work left here, as far as requests declare it. */
  readonly work = new UpstreamWork();

  /** Key of its incarnation. */
  readonly incarnation: string;

  #entry: UpstreamEntry;

  /** Requests of this entry in flight at this upstream. */
  inFlight = 0;

  /** Requests in flight that have had no output yet. */
  awaitingFirstOutput = 0;

  /** Requests of other entries, from the load that the upstream reported at {@link #loadAtMs}. */
  #reportedOthersInFlight = 0;

  /** Requests of other entries, as reported by each of them. */
  readonly #inFlightByPeer = new Map<string, number>();

  /** Sum of the peers' requests, cached as every placement needs it. */
  #peersInFlight = 0;

  #loadAtMs = Number.NEGATIVE_INFINITY;

  #slowdown = 1;

  #slowdownAtMs = Number.NEGATIVE_INFINITY;

  /** Whether the upstream or another entry has reported that this incarnation is about to stop. */
  #hasAnnouncedLeaving = false;

  /**
   * Until when it receives no requests, as it was full or its address belongs to another upstream.
   */
  #backoffUntilMs = Number.NEGATIVE_INFINITY;

  constructor(entry: UpstreamEntry) {
    this.#entry = entry;
    this.incarnation = formatIncarnation(entry);
  }

  get entry(): UpstreamEntry {
    return this.#entry;
  }

  get id(): string {
    return this.#entry.id;
  }

  update(entry: UpstreamEntry): void {
    this.#entry = entry;
  }

  /** Whether it is about to stop, by the registry, its own report or that of a peer. */
  get isLeaving(): boolean {
    return this.#entry.isLeaving || this.#hasAnnouncedLeaving;
  }

  /** Marks this incarnation as about to stop. */
  noteLeaving(): void {
    this.#hasAnnouncedLeaving = true;
  }

  /** Records the total load that the upstream reported. */
  noteLoad(load: UpstreamLoad, nowMs: number): void {
    this.#reportedOthersInFlight = Math.max(0, load.running + load.waiting - this.inFlight);
    this.#loadAtMs = nowMs;
  }

  /** Records how many requests another entry has in flight here. */
  notePeerInFlight(entry: string, inFlight: number): void {
    this.#peersInFlight += inFlight - (this.#inFlightByPeer.get(entry) ?? 0);
    if (inFlight > 0) this.#inFlightByPeer.set(entry, inFlight);
    else this.#inFlightByPeer.delete(entry);
  }

  /** Requests in flight whose work is known. */
  countKnownWork(): number {
    let count = this.work.ownCount;
    this.work.forEachPeer((entry) => {
      count += this.#inFlightByPeer.get(entry) ?? 0;
    });
    return count;
  }

  /**
   * Requests in flight from all entries, as far as known to this one.
   *
   * @param unheardPeers number of entries that report no counts
   * @param isStarting whether this entry has just started; it then assumes that such entries have
   *   as many requests in flight as itself
   */
  countLoad(nowMs: number, unheardPeers: number, isStarting: boolean): number {
    if (unheardPeers <= 0) return this.inFlight + this.#peersInFlight;
    const isReportFresh = nowMs - this.#loadAtMs < LOAD_REPORT_VALID_MS;
    const assumed = isStarting ? this.inFlight * unheardPeers : 0;
    return (
      this.inFlight +
      Math.max(this.#peersInFlight, isReportFresh ? this.#reportedOthersInFlight : assumed)
    );
  }

  /** Records by which factor the upstream is slower than a healthy one. */
  noteSlowdown(slowdown: number, nowMs: number): void {
    this.#slowdown = Math.min(slowdown, SLOWDOWN_MAX);
    this.pace.noteRecent(this.#slowdown, nowMs);
    this.#slowdownAtMs = nowMs;
  }

  /** Factor by which the upstream is slower than a healthy one; 1 where unknown. */
  readSlowdown(nowMs: number): number {
    const reported = nowMs - this.#slowdownAtMs < SLOWDOWN_VALID_MS ? this.#slowdown : 1;
    return Math.max(reported, this.pace.readSlowdown(nowMs));
  }

  /** As {@link readSlowdown}, but after a slow time it falls to the present factor gradually. */
  readRecentSlowdown(nowMs: number): number {
    return Math.max(this.readSlowdown(nowMs), this.pace.readRecent(nowMs));
  }

  /** Sends the upstream no requests until the given time, as its response asked for. */
  backOff(untilMs: number): void {
    this.#backoffUntilMs = Math.max(this.#backoffUntilMs, untilMs);
  }

  isBackingOff(nowMs: number): boolean {
    return nowMs < this.#backoffUntilMs;
  }

  /** Remaining backoff in milliseconds. */
  readBackoffMs(nowMs: number): number {
    return Math.max(0, this.#backoffUntilMs - nowMs);
  }
}
