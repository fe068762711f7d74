/** Dependencies and settings of a side process. */
import type { Timing } from '../model/timing.js';
import type { Engine } from '../ports/engine.js';
import type { Log } from '../ports/log.js';
import type { Metrics } from '../ports/metrics.js';
import type { Random } from '../ports/random.js';
import type { SideBoard } from '../state/sideBoard.js';

/** Receives group orders: an engine, or a guard in front of one. */
export type OrderTarget = Pick<Engine, 'order'>;

/** Dependencies and settings that the modules of a side process share. */
export interface SideOptions {
  readonly board: SideBoard;
  readonly engine: Engine;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly timing: Timing;
  /** Shared secret of the links; never logged. */
  readonly linkToken: string;
  /** Whether the upstream is a plain service, which publishes no load report. */
  readonly isPlain: boolean;
  /** Where group orders are sent; the engine if undefined. */
  readonly orderTarget?: OrderTarget | undefined;
  /** Time after which an order that reached the engine has either taken effect or never will. */
  readonly engineOrderLimitMs?: number | undefined;
}
