/**
 * Keeps the configuration up to date from the platform.
 *
 * Each answer proves that the configuration was complete when the call began, and renews the
 * configuration lease from that time. The watches of a configuration reader therefore wait for a
 * fraction of the lease only.
 */
import { Deadline } from '../lease/deadline.js';
import type { ConfigLease } from '../membership/configLease.js';
import type { Timing } from '../model/timing.js';
import type { ObjectChange, StoredObject } from '../ports/objectStore.js';
import type { EntryBoard } from '../state/entryBoard.js';
import { ConfigSource, type ConfigFeed } from './configFeed.js';
import { chooseWatchShare } from './configReaders.js';
import { CONFIG_PREFIX } from './object.js';
import { PrefixFollower, type FollowerContext } from './prefixFollower.js';

export interface ConfigFollowerOptions extends FollowerContext {
  readonly board: EntryBoard;
  readonly feed: ConfigFeed;
  readonly lease: ConfigLease;
  readonly timing: Timing;
}

/** Follows the `config/` objects of the platform. */
export class ConfigFollower extends PrefixFollower {
  readonly #options: ConfigFollowerOptions;

  constructor(options: ConfigFollowerOptions) {
    super(options, CONFIG_PREFIX);
    this.#options = options;
  }

  protected handleList(objects: readonly StoredObject[], revision: number): void {
    this.#options.feed.apply(ConfigSource.Platform, objects, revision, true);
  }

  /** Applies changes up to their highest version: a watch revision also counts other writes. */
  protected handleChanges(changes: readonly ObjectChange[]): void {
    const revision = changes.reduce((highest, { version }) => Math.max(highest, version), 0);
    this.#options.feed.apply(ConfigSource.Platform, changes, revision, false);
  }

  protected chooseWatchTimeoutMs(): number {
    const { board, timing } = this.#options;
    const share = chooseWatchShare(board.name, [board.name, ...board.peers.keys()]);
    if (share === undefined) return timing.watchTimeoutMs;
    return Math.min(timing.watchTimeoutMs, timing.configLeaseMs * share);
  }

  protected override onRecovery(): void {}

  protected onCallStart(): () => void {
    const { board, lease, timing } = this.#options;
    const until = Deadline.after(timing.configLeaseMs);
    return () => {
      board.platformRespondedAtMs = Date.now();
      lease.renew(until);
    };
  }
}
