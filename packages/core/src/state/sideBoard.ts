/** The blackboard of a side process: everything its controllers read and write. */
import { ConfigView } from '../config/configView.js';
import { Warmth, type EngineReport } from '../model/report.js';

/** State shared by the controllers of a side process. */
export class SideBoard {
  /** Name of the upstream that this process stands beside. */
  readonly upstream: string;

  /** Changes with every start of the process. */
  readonly incarnation: string;

  readonly domain: string;

  /** The objects that concern this upstream; it comes over the links of entries. */
  readonly config = new ConfigView();

  report: EngineReport | undefined;

  reportAtMs = Number.NEGATIVE_INFINITY;

  warmth = Warmth.Cold;

  /** Attempts let in at once now. */
  limit = 0;

  /** Attempts admitted and not yet ended. */
  inFlight = 0;

  isLeaving = false;

  isStopping = false;

  constructor(upstream: string, incarnation: string, domain: string) {
    this.upstream = upstream;
    this.incarnation = incarnation;
    this.domain = domain;
  }
}
