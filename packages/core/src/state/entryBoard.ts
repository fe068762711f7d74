/** The blackboard of an entry: everything its controllers read and write. */
import { ConfigView } from '../config/configView.js';
import type { Deadline } from '../lease/deadline.js';
import type { DomainReturn } from '../orders/domainRamp.js';
import type { SideReport } from '../model/report.js';
import type { Link } from '../ports/link.js';

export enum SideLinkState {
  Connecting = 'CONNECTING',
  Open = 'OPEN',
  /** Silent past the heartbeat limit, or closed. */
  Lost = 'LOST',
}

/** What this entry knows of one upstream and its side process. */
export interface UpstreamState {
  readonly name: string;
  readonly pool: string;
  readonly domain: string;
  address: string;
  linkState: SideLinkState;
  link: Link | undefined;
  sideIncarnation: string;
  /** Last tick heard of the side process, echoed in submissions. */
  tickMs: number;
  lastHeardAtMs: number;
  /** Revision that the side process has acknowledged. */
  configRevision: number;
  isStopping: boolean;
  /** Whether the platform's list calls the VM leaving; the list lags, so this is a hint. */
  isListedLeaving?: boolean;
  report: SideReport | undefined;
  reportAtMs: number;
  /** Attempts of this entry in flight there. */
  inFlight: number;
  /** Attempts sent there since the last report. */
  sentSinceReport: number;
  /** Attempts of other entries there by the last report; missing before the first. */
  othersInFlight?: number;
}

/** What this entry knows of another entry. */
export interface EntryPeerState {
  readonly name: string;
  address: string;
  /** Undefined where it is not known. */
  region?: string | undefined;
  incarnation: string;
  link: Link | undefined;
  lastHeardAtMs: number;
  configRevision: number;
  /** Whether the peer is in a planned stop. */
  isStopping?: boolean;
}

/** State shared by the controllers of an entry. */
export class EntryBoard {
  readonly name: string;

  /** Changes with every start of the process. */
  readonly incarnation: string;

  readonly region: string;

  readonly domain: string;

  readonly config = new ConfigView();

  readonly upstreams = new Map<string, UpstreamState>();

  readonly peers = new Map<string, EntryPeerState>();

  /** Failure domains that were out of service since this entry started. */
  readonly domainReturns = new Map<string, DomainReturn>();

  /** Last time that the platform answered. */
  platformHeardAtMs = Number.NEGATIVE_INFINITY;

  /** End of the right to begin new work; undefined where the flag alone decides. */
  currentUntil: Deadline | undefined;

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
   * Whether new work may begin: the configuration is known to be recent enough. Judged at the
   * moment of use, so that a process that was paused does not act on an old answer.
   */
  get isCurrent(): boolean {
    return this.#isCurrent && !(this.currentUntil?.isPast ?? false);
  }

  set isCurrent(value: boolean) {
    this.#isCurrent = value;
  }
}
