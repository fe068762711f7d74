/** The platform as one simulated process calls it: answers wait while the process is frozen. */
import {
  ObjectStore,
  type ObjectList,
  type StoredObject,
  type StoreError,
  type WatchBatch,
} from '@radishbay/core/ports/objectStore.js';
import type { Result } from '@radishbay/core/outcome.js';

import type { SimProcess } from './simProcess.js';

/** A store whose answers belong to a process; effects happen whatever becomes of it. */
export class ProcessStore extends ObjectStore {
  readonly #inner: ObjectStore;

  readonly #owner: SimProcess;

  constructor(inner: ObjectStore, owner: SimProcess) {
    super();
    this.#inner = inner;
    this.#owner = owner;
  }

  override get(key: string): Promise<Result<StoredObject | undefined, StoreError>> {
    return this.#call(() => this.#inner.get(key));
  }

  override list(prefix: string): Promise<Result<ObjectList, StoreError>> {
    return this.#call(() => this.#inner.list(prefix));
  }

  override put(
    key: string,
    value: unknown,
    expectedVersion: number,
  ): Promise<Result<number, StoreError>> {
    return this.#call(() => this.#inner.put(key, structuredClone(value), expectedVersion));
  }

  override remove(key: string, expectedVersion: number): Promise<Result<number, StoreError>> {
    return this.#call(() => this.#inner.remove(key, expectedVersion));
  }

  override watch(
    prefix: string,
    afterRevision: number,
    timeoutMs: number,
  ): Promise<Result<WatchBatch, StoreError>> {
    return this.#call(() => this.#inner.watch(prefix, afterRevision, timeoutMs));
  }

  #call<T>(action: () => Promise<T>): Promise<T> {
    return new Promise((resolve) => {
      this.#owner.call(() => {
        action().then(
          (value) => this.#owner.post(() => resolve(value)),
          () => {},
        );
      });
    });
  }
}
