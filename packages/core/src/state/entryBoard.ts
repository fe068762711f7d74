/** The blackboard of an entry: everything its controllers read and write. */
import { ConfigView } from '../config/configView.js';
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
  readonly address: string;
  incarnation: string;
  link: Link | undefined;
  lastHeardAtMs: number;
  configRevision: number;
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

  /** Last time that the platform answered. */
  platformHeardAtMs = Number.NEGATIVE_INFINITY;

  /** Whether new work may begin: the configuration is known to be recent enough. */
  isCurrent = false;

  /** Whether a planned stop has begun. */
  isStopping = false;

  constructor(name: string, incarnation: string, domain: string, region: string) {
    this.name = name;
    this.incarnation = incarnation;
    this.domain = domain;
    this.region = region;
  }
}
