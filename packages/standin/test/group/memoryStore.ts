/** In-memory object store that can be unavailable or lose the answers to writes. */
import { Err, Ok, type Result } from '@radishbay/core/outcome.js';
import {
  ObjectStore,
  StoreErrorKind,
  type ObjectList,
  type StoreError,
  type StoredObject,
  type WatchBatch,
} from '@radishbay/core/ports/objectStore.js';

function fail(kind: StoreErrorKind): Result<never, StoreError> {
  return Err({ kind, detail: kind });
}

/** Copies a value through JSON, as a platform stores it. */
function copy<T>(value: T): T {
  return value === undefined ? value : (JSON.parse(JSON.stringify(value)) as T);
}

export class MemoryStore extends ObjectStore {
  readonly #objects = new Map<string, StoredObject>();

  #revision = 0;

  isDown = false;

  /** Number of next writes that take effect but whose answers are lost. */
  lostAnswers = 0;

  override get(key: string): Promise<Result<StoredObject | undefined, StoreError>> {
    if (this.isDown) return Promise.resolve(fail(StoreErrorKind.Unavailable));
    return Promise.resolve(Ok(copy(this.#objects.get(key))));
  }

  override put(
    key: string,
    value: unknown,
    expectedVersion: number,
  ): Promise<Result<number, StoreError>> {
    if (this.isDown) return Promise.resolve(fail(StoreErrorKind.Unavailable));
    if ((this.#objects.get(key)?.version ?? 0) !== expectedVersion) {
      return Promise.resolve(fail(StoreErrorKind.Conflict));
    }
    this.#revision += 1;
    this.#objects.set(key, { key, version: this.#revision, value: copy(value) });
    if (this.lostAnswers === 0) return Promise.resolve(Ok(this.#revision));
    this.lostAnswers -= 1;
    return Promise.resolve(fail(StoreErrorKind.Unknown));
  }

  override list(): Promise<Result<ObjectList, StoreError>> {
    return Promise.resolve(Ok({ revision: this.#revision, objects: [...this.#objects.values()] }));
  }

  override remove(): Promise<Result<number, StoreError>> {
    return Promise.resolve(this.isDown ? fail(StoreErrorKind.Unavailable) : Ok(this.#revision));
  }

  override watch(): Promise<Result<WatchBatch, StoreError>> {
    return Promise.resolve(Ok({ revision: this.#revision, changes: [] }));
  }
}
