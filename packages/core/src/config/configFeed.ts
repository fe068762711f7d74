/**
 * The one way by which configuration reaches the blackboard.
 *
 * Whoever hears of a change (the platform, a peer, a side process, an order given here) hands it
 * in; the view takes only what is newer, and listeners hear of each rise at once.
 */
import type { EntryBoard } from '../state/entryBoard.js';
import { LogLevel, type Log } from '../ports/log.js';
import type { Metrics } from '../ports/metrics.js';
import type { ConfigChange } from './configView.js';

const PART = 'config';

/** Where a change was heard first. */
export enum ConfigSource {
  Platform = 'platform',
  Peer = 'peer',
  Side = 'side',
  Order = 'order',
}

/** A rise of the revision in force. */
export interface ConfigUpdate {
  readonly fromRevision: number;
  readonly revision: number;
  /** Keys whose objects changed; may be empty. */
  readonly keys: readonly string[];
}

export type ConfigUpdateListener = (rise: ConfigUpdate) => void;

/** What a process lacks that has everything up to a revision. */
export interface ChangeSet {
  /** Whether the changes are all that there is. */
  readonly isFull: boolean;
  readonly fromRevision: number;
  readonly changes: readonly ConfigChange[];
}

export interface ConfigFeedOptions {
  readonly board: EntryBoard;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Takes configuration in and announces what is new. */
export class ConfigFeed {
  readonly #board: EntryBoard;

  readonly #log: Log;

  readonly #metrics: Metrics;

  readonly #listeners: ConfigUpdateListener[] = [];

  /** Result of the last read: many links ask for the same after a change. */
  #lastRead: ChangeSet | undefined;

  /** Revision of the last full set: older removals may be missing here. */
  #lastFullRevision = 0;

  constructor(options: ConfigFeedOptions) {
    this.#board = options.board;
    this.#log = options.log;
    this.#metrics = options.metrics;
  }

  /** Names a listener for each rise, called after the view has changed. */
  onRise(listener: ConfigUpdateListener): void {
    this.#listeners.push(listener);
  }

  /**
   * Takes changes in.
   *
   * @param isFull whether the changes are all that there is at the revision
   */
  take(
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
    const rise = { fromRevision, revision: config.revision, keys };
    this.#listeners.forEach((listener) => listener(rise));
  }

  /**
   * Reads what a process lacks that has everything up to a revision.
   *
   * @returns changes, or a full set where removals since then may be unknown here
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
      this.#log.write(LogLevel.Error, PART, 'Rejected a bad object.', { ...fault });
    });
  }
}
