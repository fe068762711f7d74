/** What a side process is made of. */
import type { Timing } from '../model/timing.js';
import type { Engine } from '../ports/engine.js';
import type { Log } from '../ports/log.js';
import type { Metrics } from '../ports/metrics.js';
import type { Random } from '../ports/random.js';
import type { SideBoard } from '../state/sideBoard.js';

/** Takes group orders; an engine, or a guard in front of one. */
export type OrderTarget = Pick<Engine, 'order'>;

/** Parts and settings that the modules of a side process share. */
export interface SideOptions {
  readonly board: SideBoard;
  readonly engine: Engine;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly timing: Timing;
  /** Shared secret of the links; never logged. */
  readonly linkToken: string;
  /** Plain services publish no load report. */
  readonly isPlain: boolean;
  /** Where group orders go; the engine where undefined. */
  readonly orderTarget?: OrderTarget | undefined;
  /** Time after which an order that reached the engine has taken effect or never will. */
  readonly engineOrderLimitMs?: number | undefined;
}
