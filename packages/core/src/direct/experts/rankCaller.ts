/** Reports of the ranks of an expert-parallel group, and orders to them, whatever the transport. */
import type { Result } from '../../outcome.js';
import type { UpstreamEntry } from '../directUpstream.js';

/** State that a rank reports of itself. */
export interface RankReport {
  readonly group: string;
  /** Changes whenever the group re-forms; orders are valid within one epoch only. */
  readonly epoch: number;
  readonly rank: number;
  /** Whether the group runs passes, with all its ranks present. */
  readonly isOpen: boolean;
  /** Number of ranks of the group. */
  readonly size: number;
  /** Number of the last pass that has begun; an idle group begins none. */
  readonly step: number;
  /** Time that the rank takes for its work, relative to a healthy rank; above 1 if it is slow. */
  readonly pace: number;
  /** Version of the map in force. */
  readonly mapVersion: number;
  /** Version whose experts are all copied; undefined if there is none. */
  readonly preparedVersion: number | undefined;
  /** Version that takes effect when the pass with number `step` begins. */
  readonly armed: { readonly version: number; readonly step: number } | undefined;
  /** Number of the pass that the group cannot begin until it is released at this rank. */
  readonly heldStep: number | undefined;
}

/** Number of times that a rank's own requests chose each expert since the rank started. */
export interface RankCounts {
  readonly epoch: number;
  readonly step: number;
  /** Ordered by layer, then expert. */
  readonly counts: readonly number[];
}

/** Experts that a rank holds in the map in force. */
export interface RankExperts {
  readonly mapVersion: number;
  /** Expert numbers by layer. */
  readonly experts: readonly (readonly number[])[];
}

/** Kinds of orders, by the names that ranks know. */
export enum RankOrderKind {
  /** Copies those experts of a map that are new to the rank. */
  Prepare = 'prepare',
  /** Switches to a prepared map when a given pass begins. */
  Arm = 'arm',
  /** Cancels the switch to a version. */
  Disarm = 'disarm',
  /** Keeps the group from beginning a given pass. */
  Hold = 'hold',
  /** Releases a held pass. */
  Release = 'go',
}

/** An order to a rank; fields that its kind does not need are left out. */
export interface RankCommand {
  readonly kind: RankOrderKind;
  readonly epoch: number;
  readonly version?: number;
  readonly step?: number;
  /** Experts by layer, then rank. */
  readonly map?: readonly (readonly (readonly number[])[])[];
}

/** How an order to a rank ended. */
export enum OrderOutcome {
  /** The order was executed or begun, or its effect was already in place. */
  Done = 'done',
  /** The order does not fit the state of the rank. */
  Refused = 'refused',
  /** No answer arrived: the order may be executed, now or seconds later. */
  Lost = 'lost',
}

/** Calls the ranks of a group; the error of a failed read gives the cause. */
export abstract class RankCaller {
  /** Reads the state of a rank. */
  abstract readReport(rank: UpstreamEntry): Promise<Result<RankReport, string>>;

  /** Reads how often each expert was chosen. */
  abstract readCounts(rank: UpstreamEntry): Promise<Result<RankCounts, string>>;

  /** Reads the experts that a rank holds. */
  abstract readExperts(rank: UpstreamEntry): Promise<Result<RankExperts, string>>;

  /** Sends an order to a rank. */
  abstract order(rank: UpstreamEntry, command: RankCommand): Promise<OrderOutcome>;
}
