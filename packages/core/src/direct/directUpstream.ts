/** One upstream that entries call themselves, as this entry knows it. */
import { StartRate } from './startRate.js';
import { OutlierEjection } from './outlierEjection.js';

/** What the platform's registry says of an upstream. */
export interface UpstreamEntry {
  readonly id: string;
  /** IP number and port. */
  readonly address: string;
  readonly domain: string;
  readonly pool: string;
  /** Requests worked on at the same time. */
  readonly slots: number;
  /** Whether it is about to end and takes no new work. */
  readonly isLeaving: boolean;
  /** Unix time of its start; 0 where it is not told. A new one means a new life. */
  readonly startedAtUnixMs: number;
  /** Time for which it is still cold, by its own word as it was entered; 0 where it is warm. */
  readonly coldForMs: number;
}

/** What an upstream says of its load with an answer. */
export interface UpstreamLoad {
  readonly running: number;
  readonly waiting: number;
}

/** Age from which a load that the upstream told says nothing about now: about one stream. */
const LOAD_REPORT_VALID_MS = 1_500;

/** Age from which a pace that was told says nothing: some surveys of the ranks. */
const SLOWDOWN_VALID_MS = 6_000;

/** State of one upstream in this entry. */
export class DirectUpstream {
  readonly startRate = new StartRate();

  readonly ejection = new OutlierEjection();

  #entry: UpstreamEntry;

  /** Requests of this entry that have not ended. */
  inFlight = 0;

  /** Those of them that have had no event yet. */
  awaitingFirstOutput = 0;

  /** Requests of other entries by the upstream's own word, where {@link #loadAtMs} is recent. */
  #reportedOthersInFlight = 0;

  /** Requests of other entries by their word. */
  readonly #inFlightByPeer = new Map<string, number>();

  /** Sum of them, as every choice asks for it. */
  #peersInFlight = 0;

  #loadAtMs = Number.NEGATIVE_INFINITY;

  #slowdown = 1;

  #slowdownAtMs = Number.NEGATIVE_INFINITY;

  /** Whether this life of it is about to end by the word of itself or of another entry. */
  #hasAnnouncedLeaving = false;

  /** Until when it is not asked, as it said that another one has its address or it is full. */
  #backoffUntilMs = Number.NEGATIVE_INFINITY;

  constructor(entry: UpstreamEntry) {
    this.#entry = entry;
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

  /** Whether it is about to end, by anybody's word. */
  get isLeaving(): boolean {
    return this.#entry.isLeaving || this.#hasAnnouncedLeaving;
  }

  /** It is about to end; that holds for this life of it. */
  noteLeaving(): void {
    this.#hasAnnouncedLeaving = true;
  }

  /** Takes in what the upstream said of all its work. */
  noteLoad(load: UpstreamLoad, nowMs: number): void {
    this.#reportedOthersInFlight = Math.max(0, load.running + load.waiting - this.inFlight);
    this.#loadAtMs = nowMs;
  }

  /** Takes in what another entry has in flight here. */
  notePeerInFlight(entry: string, inFlight: number): void {
    this.#peersInFlight += inFlight - (this.#inFlightByPeer.get(entry) ?? 0);
    if (inFlight > 0) this.#inFlightByPeer.set(entry, inFlight);
    else this.#inFlightByPeer.delete(entry);
  }

  /**
   * Requests in flight from all entries, as far as this one knows.
   *
   * @param unheardPeers entries that do not tell their counts; those of entries that this one has
   *   had no time to hear are taken to be like its own
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

  /** Takes in how long the upstream takes for its work against a sound one. */
  notePace(slowdown: number, nowMs: number): void {
    this.#slowdown = slowdown;
    this.#slowdownAtMs = nowMs;
  }

  /** Time that the upstream takes for its work against a sound one; 1 where that is not known. */
  readSlowdown(nowMs: number): number {
    return nowMs - this.#slowdownAtMs < SLOWDOWN_VALID_MS ? this.#slowdown : 1;
  }

  /** Leaves the upstream alone for a time that its own answer calls for. */
  backOff(untilMs: number): void {
    this.#backoffUntilMs = Math.max(this.#backoffUntilMs, untilMs);
  }

  isBackingOff(nowMs: number): boolean {
    return nowMs < this.#backoffUntilMs;
  }

  /** Time for which it is still left alone. */
  readBackoffMs(nowMs: number): number {
    return Math.max(0, this.#backoffUntilMs - nowMs);
  }
}
