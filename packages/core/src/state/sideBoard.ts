/** The board of a side process: the shared state that its parts read and write. */
import { ConfigView } from '../config/configView.js';
import { Warmth, type EngineReport } from '../model/report.js';

/** State shared by the controllers of a side process. */
export class SideBoard {
  /** Name of the upstream beside which this process runs. */
  readonly upstream: string;

  /** Unique per start of the process. */
  readonly incarnation: string;

  readonly domain: string;

  /** Configuration objects that concern this upstream; received from entries over their links. */
  readonly config = new ConfigView();

  report: EngineReport | undefined;

  reportAtMs = Number.NEGATIVE_INFINITY;

  warmth = Warmth.Cold;

  /** Current concurrency limit: attempts admitted at the same time. */
  limit = 0;

  /** Calls that count against the limit: admitted attempts, and work that may still be running. */
  inFlight = 0;

  isLeaving = false;

  isStopping = false;

  constructor(upstream: string, incarnation: string, domain: string) {
    this.upstream = upstream;
    this.incarnation = incarnation;
    this.domain = domain;
  }
}
