/**
 * Object storage of the stand-in platform: versions, change history for watches, and compaction.
 *
 * It is synchronous and never injects faults; {@link MemoryObjectStore} adds delays and faults.
 */
import { Err, Ok, type Result } from '@radishbay/core/outcome.js';
import {
  StoreErrorKind,
  VERSION_ABSENT,
  type ObjectChange,
  type ObjectList,
  type StoredObject,
  type StoreError,
  type WatchBatch,
} from '@radishbay/core/ports/objectStore.js';

/** Maximum size of a value, as JSON in UTF-8. */
const VALUE_LIMIT_BYTES = 1_000_000;

/** Number of changes kept for watches; older ones are compacted. */
const HISTORY_LIMIT = 10_000;

function fail(kind: StoreErrorKind, detail: string): Result<never, StoreError> {
  return Err({ kind, detail });
}

/** In-memory store of versioned objects. */
export class MemoryObjects {
  readonly #objects = new Map<string, StoredObject>();

  readonly #listeners = new Set<(change: ObjectChange) => void>();

  /**
   * Changes after the compacted revision. Their versions are consecutive, so a revision gives the
   * index of a change.
   */
  #history: ObjectChange[] = [];

  #revision = 0;

  #compactedRevision = 0;

  /** Revision of the latest write; 0 before the first one. */
  get revision(): number {
    return this.#revision;
  }

  /** Number of stored objects. */
  get size(): number {
    return this.#objects.size;
  }

  get(key: string): StoredObject | undefined {
    return this.#objects.get(key);
  }

  list(prefix: string): ObjectList {
    const objects = [...this.#objects.values()].filter((object) => object.key.startsWith(prefix));
    return { revision: this.#revision, objects };
  }

  put(key: string, value: unknown, expectedVersion: number): Result<number, StoreError> {
    const json = JSON.stringify(value);
    if (json === undefined) return fail(StoreErrorKind.Invalid, 'the value is not JSON');
    if (Buffer.byteLength(json) > VALUE_LIMIT_BYTES) {
      return fail(StoreErrorKind.Invalid, `the value exceeds ${VALUE_LIMIT_BYTES} bytes`);
    }
    return this.#write(key, JSON.parse(json), expectedVersion);
  }

  remove(key: string, expectedVersion: number): Result<number, StoreError> {
    return this.#write(key, undefined, expectedVersion);
  }

  /**
   * Lists the changes after a revision to objects whose key has a prefix.
   *
   * @returns the changes, or `Compacted` if the history does not reach back to the revision or the
   *   revision is in the future
   */
  listChanges(prefix: string, afterRevision: number): Result<WatchBatch, StoreError> {
    if (afterRevision < this.#compactedRevision || afterRevision > this.#revision) {
      return fail(StoreErrorKind.Compacted, `no history after revision ${afterRevision}`);
    }
    const changes = this.#history
      .slice(afterRevision - this.#compactedRevision)
      .filter((change) => change.key.startsWith(prefix));
    return Ok({ revision: this.#revision, changes });
  }

  /** Discards the history so far; watches from an older revision must list again. */
  compact(): void {
    this.#history = [];
    this.#compactedRevision = this.#revision;
  }

  /** Adds a listener that is called after every write; the returned function removes it. */
  onChange(listener: (change: ObjectChange) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  #write(key: string, value: unknown, expectedVersion: number): Result<number, StoreError> {
    const version = this.#objects.get(key)?.version ?? VERSION_ABSENT;
    if (version !== expectedVersion) {
      return fail(StoreErrorKind.Conflict, `version of ${key} is ${version}`);
    }
    if (value === undefined && version === VERSION_ABSENT) return Ok(this.#revision);
    this.#revision += 1;
    const change = { key, version: this.#revision, value };
    if (value === undefined) this.#objects.delete(key);
    else this.#objects.set(key, change);
    this.#appendToHistory(change);
    [...this.#listeners].forEach((listener) => listener(change));
    return Ok(this.#revision);
  }

  #appendToHistory(change: ObjectChange): void {
    this.#history.push(change);
    if (this.#history.length <= HISTORY_LIMIT) return;
    const dropped = this.#history.splice(0, this.#history.length - HISTORY_LIMIT);
    this.#compactedRevision += dropped.length;
  }
}
