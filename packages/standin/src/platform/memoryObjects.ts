/**
 * The objects of the stand-in platform: versions, history for watches, compaction.
 *
 * Synchronous and without faults; {@link MemoryObjectStore} adds delays and failures.
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

/** Largest value, in bytes of its JSON. */
const VALUE_LIMIT_BYTES = 1_000_000;

/** Changes kept for watches before the oldest are compacted. */
const HISTORY_LIMIT = 10_000;

function fail(kind: StoreErrorKind, detail: string): Result<never, StoreError> {
  return Err({ kind, detail });
}

/** Versioned objects in memory. */
export class MemoryObjects {
  readonly #objects = new Map<string, StoredObject>();

  readonly #listeners = new Set<(change: ObjectChange) => void>();

  /** Without gaps: the versions count up by one from the compacted revision. */
  #history: ObjectChange[] = [];

  #revision = 0;

  #compactedRevision = 0;

  /** Revision of the last write. */
  get revision(): number {
    return this.#revision;
  }

  /** Number of objects held. */
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
   * Reads the changes after a revision.
   *
   * @returns the changes so far, or an error where they have been compacted
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

  /** Forgets the history up to now: watches that are behind must list anew. */
  compact(): void {
    this.#history = [];
    this.#compactedRevision = this.#revision;
  }

  /** Adds a listener for every write; the returned function removes it. */
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
    this.#remember(change);
    [...this.#listeners].forEach((listener) => listener(change));
    return Ok(this.#revision);
  }

  #remember(change: ObjectChange): void {
    this.#history.push(change);
    if (this.#history.length <= HISTORY_LIMIT) return;
    const dropped = this.#history.splice(0, this.#history.length - HISTORY_LIMIT);
    this.#compactedRevision += dropped.length;
  }
}
