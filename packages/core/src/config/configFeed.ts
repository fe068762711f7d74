/**
 * The only path by which configuration reaches the entry's board.
 *
 * Changes come from the platform, a peer, a side process or an order given to this entry. The view
 * applies only objects that are newer, and listeners are called at once for each update.
 */
import type { EntryBoard } from '../state/entryBoard.js';
import { LogLevel, type Log } from '../ports/log.js';
import type { Metrics } from '../ports/metrics.js';
import type { ConfigChange } from './configView.js';

const PART = 'config';

/** Source from which a change was received. */
export enum ConfigSource {
  Platform = 'platform',
  Peer = 'peer',
  Side = 'side',
  Order = 'order',
}

/** An update of the configuration in force: a higher revision, newer objects or both. */
export interface ConfigUpdate {
  readonly fromRevision: number;
  readonly revision: number;
  /** Keys whose objects changed; may be empty. */
  readonly keys: readonly string[];
}

export type ConfigUpdateListener = (update: ConfigUpdate) => void;

/** Changes that a process needs if it has everything up to a given revision. */
export interface ChangeSet {
  /** Whether the changes are the complete configuration. */
  readonly isFull: boolean;
  readonly fromRevision: number;
  readonly changes: readonly ConfigChange[];
}

export interface ConfigFeedOptions {
  readonly board: EntryBoard;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Applies configuration changes to the view and notifies listeners of updates. */
export class ConfigFeed {
  readonly #board: EntryBoard;

  readonly #log: Log;

  readonly #metrics: Metrics;

  readonly #listeners: ConfigUpdateListener[] = [];

  /** Result of the last read, cached because many links read the same range after a change. */
  #lastRead: ChangeSet | undefined;

  /** Revision of the last full set; removals before it may be unknown here. */
  #lastFullRevision = 0;

  constructor(options: ConfigFeedOptions) {
    this.#board = options.board;
    this.#log = options.log;
    this.#metrics = options.metrics;
  }

  /** Adds a listener that is called for each update, after the view has changed. */
  onUpdate(listener: ConfigUpdateListener): void {
    this.#listeners.push(listener);
  }

  /**
   * Applies changes.
   *
   * @param isFull whether the changes are the complete configuration at the revision
   */
  apply(
    source: ConfigSource,
    changes: readonly ConfigChange[],
    revision: number,
    isFull: boolean,
  ): void {
    const { config } = this.#board;
    const fromRevision = config.revision;
    const keys = config.apply(changes, revision, isFull);
    this.#lastRead = undefined;
    if (isFull && revision >= fromRevision) this.#lastFullRevision = revision;
    this.#reportFaults(changes);
    if (config.revision === fromRevision && keys.length === 0) return;
    this.#metrics.count('config.rise', { source });
    const update = { fromRevision, revision: config.revision, keys };
    this.#listeners.forEach((listener) => listener(update));
  }

  /**
   * Reads the changes that a process needs if it has everything up to a revision.
   *
   * @returns the changes, or a full set if removals since then may be unknown here
   */
  read(afterRevision: number): ChangeSet {
    const isFull = afterRevision < this.#lastFullRevision;
    const fromRevision = isFull ? 0 : afterRevision;
    if (this.#lastRead?.fromRevision === fromRevision) return this.#lastRead;
    const changes = this.#board.config.listChanges(fromRevision);
    this.#lastRead = { isFull, fromRevision, changes };
    return this.#lastRead;
  }

  #reportFaults(changes: readonly ConfigChange[]): void {
    changes.forEach((change) => {
      const fault = this.#board.config.faults.get(change.key)?.[0];
      if (!fault) return;
      this.#metrics.count('config.rejected');
      this.#log.write(LogLevel.Error, PART, 'Rejected an invalid configuration object.', {
        ...fault,
      });
    });
  }
}
