/**
 * Watchdog that recovers a group from an abandoned hold.
 *
 * When a rank has been held for too long, the watchdog runs its own ballot over all ranks; this
 * needs no platform. The timeout is randomized, so that usually only one watchdog of a group starts
 * recovery; if two do, the higher ballot wins.
 */
import type { Metrics } from '../ports/metrics.js';
import type { Random } from '../ports/random.js';

import { maxBallot, nextBallot, NO_BALLOT, type Ballot } from './ballot.js';
import { MapSwitch } from './mapSwitch.js';
import type { RankControl } from './rankControl.js';
import type { RankGuard } from './rankGuard.js';
import { RankAction } from './rankOrder.js';

/** Times that recovery sends an unanswered order again. */
const MAX_ORDER_RETRIES = 1;

export interface HoldWatchdogOptions {
  /** Proposer of the recovery ballots; unique to this run of the process. */
  readonly incarnation: string;
  /** Shortest hold that counts as abandoned; longer than any switch without faults. */
  readonly holdLimitMs: number;
}

/** Recovers a group that has been held for too long. */
export class HoldWatchdog {
  readonly #guard: Pick<RankGuard, 'handle'>;

  readonly #switch: MapSwitch;

  readonly #options: HoldWatchdogOptions;

  readonly #random: Random;

  readonly #metrics: Metrics;

  #heldSinceMs: number | undefined;

  #timeoutMs: number;

  #highestBallot: Ballot = NO_BALLOT;

  #isStepping = false;

  constructor(
    guard: Pick<RankGuard, 'handle'>,
    control: RankControl,
    options: HoldWatchdogOptions,
    random: Random,
    metrics: Metrics,
  ) {
    this.#guard = guard;
    this.#switch = new MapSwitch(control, { retries: MAX_ORDER_RETRIES, canOrder: () => true });
    this.#options = options;
    this.#random = random;
    this.#metrics = metrics;
    this.#timeoutMs = this.#randomizeTimeout();
  }

  /**
   * Reads the hold state and recovers the group if the hold has timed out. Called at an interval;
   * calls during a recovery do nothing.
   */
  async step(nowMs: number): Promise<void> {
    if (this.#isStepping) return;
    this.#isStepping = true;
    await this.#checkHold(nowMs);
    this.#isStepping = false;
  }

  async #checkHold(nowMs: number): Promise<void> {
    const state = await this.#guard.handle({ action: RankAction.Read });
    if (!state.ok) return;
    this.#highestBallot = maxBallot(this.#highestBallot, state.val.promised);
    if (!state.val.isHeld) {
      this.#heldSinceMs = undefined;
      return;
    }
    this.#heldSinceMs ??= nowMs;
    if (nowMs - this.#heldSinceMs < this.#timeoutMs) return;
    await this.#recover();
  }

  async #recover(): Promise<void> {
    const ballot = nextBallot(this.#highestBallot, this.#options.incarnation);
    if (!ballot) return;
    this.#highestBallot = ballot;
    this.#metrics.count('groups.recovery');
    const outcome = await this.#switch.run(ballot);
    if (!outcome.ok) {
      this.#highestBallot = maxBallot(this.#highestBallot, outcome.val.promised);
      this.#metrics.count('groups.recovery_failed', { reason: outcome.val.kind });
    }
    this.#timeoutMs = this.#randomizeTimeout();
    this.#heldSinceMs = undefined;
  }

  #randomizeTimeout(): number {
    return this.#options.holdLimitMs * (1 + this.#random.next());
  }
}
