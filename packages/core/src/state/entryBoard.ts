/** The board of an entry: the shared state that its controllers read and write. */
import { ConfigView } from '../config/configView.js';
import type { Deadline } from '../lease/deadline.js';
import type { DrainPeriod } from '../orders/domainRamp.js';
import type { SideReport } from '../model/report.js';
import type { Link } from '../ports/link.js';

export enum SideLinkState {
  Connecting = 'CONNECTING',
  Open = 'OPEN',
  /** Closed, or silent for longer than the silence limit. */
  Lost = 'LOST',
}

/** State of one upstream and its side process, as known to this entry. */
export interface UpstreamState {
  readonly name: string;
  readonly pool: string;
  readonly domain: string;
  address: string;
  linkState: SideLinkState;
  link: Link | undefined;
  sideIncarnation: string;
  /** Last tick received from the side process, echoed in submissions. */
  tickMs: number;
  lastReceivedAtMs: number;
  /** Configuration revision that the side process has acknowledged. */
  configRevision: number;
  isStopping: boolean;
  /** Whether the platform lists the VM as leaving; only a hint, as the list lags. */
  isListedLeaving?: boolean;
  report: SideReport | undefined;
  reportAtMs: number;
  /** Attempts of this entry in flight at the upstream. */
  inFlight: number;
  /** Attempts of this entry sent to the upstream since the last report. */
  sentSinceReport: number;
  /** Attempts of other entries at the upstream by the last report; unset before the first. */
  othersInFlight?: number;
}

/** State of another entry, as known to this entry. */
export interface EntryPeerState {
  readonly name: string;
  address: string;
  /** Undefined if not known. */
  region?: string | undefined;
  incarnation: string;
  link: Link | undefined;
  lastReceivedAtMs: number;
  configRevision: number;
  /** Whether the peer is in a planned stop. */
  isStopping?: boolean;
}

/** State shared by the controllers of an entry. */
export class EntryBoard {
  readonly name: string;

  /** Unique per start of the process. */
  readonly incarnation: string;

  readonly region: string;

  readonly domain: string;

  readonly config = new ConfigView();

  readonly upstreams = new Map<string, UpstreamState>();

  readonly peers = new Map<string, EntryPeerState>();

  /** Failure domains that have been out of service since this entry started, by name. */
  readonly drainPeriods = new Map<string, DrainPeriod>();

  /** Last time at which the platform responded; epoch milliseconds. */
  platformRespondedAtMs = Number.NEGATIVE_INFINITY;

  /** End of the configuration lease; undefined if the flag alone decides {@link isCurrent}. */
  configLeaseDeadline: Deadline | undefined;

  #isCurrent = false;

  /** Whether a planned stop has begun. */
  isStopping = false;

  constructor(name: string, incarnation: string, domain: string, region: string) {
    this.name = name;
    this.incarnation = incarnation;
    this.domain = domain;
    this.region = region;
  }

  /**
   * Whether new work may start: the configuration is known to be recent enough. Evaluated at the
   * moment of use, so that a process that was paused does not act on an outdated value.
   */
  get isCurrent(): boolean {
    return this.#isCurrent && !(this.configLeaseDeadline?.isPast ?? false);
  }

  set isCurrent(value: boolean) {
    this.#isCurrent = value;
  }
}
