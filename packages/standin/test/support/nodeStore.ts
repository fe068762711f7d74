import type { Result } from '@radishbay/core/outcome.js';
import {
  ObjectStore,
  type ObjectList,
  type StoredObject,
  type StoreError,
  type WatchBatch,
} from '@radishbay/core/ports/objectStore.js';

import type { MemoryObjectStore } from '../../src/platform/memoryStore.js';
import type { NodeClock } from './nodeClock.js';

type Outcome<T> = Promise<Result<T, StoreError>>;

/** A client of the platform whose node may be frozen; what was sent takes effect all the same. */
export class NodeStore extends ObjectStore {
  readonly #clock: NodeClock;

  readonly #node: string;

  readonly #inner: MemoryObjectStore;

  constructor(clock: NodeClock, node: string, inner: MemoryObjectStore) {
    super();
    this.#clock = clock;
    this.#node = node;
    this.#inner = inner;
  }

  get(key: string): Outcome<StoredObject | undefined> {
    return this.#pass(() => this.#inner.get(key));
  }

  list(prefix: string): Outcome<ObjectList> {
    return this.#pass(() => this.#inner.list(prefix));
  }

  put(key: string, value: unknown, expectedVersion: number): Outcome<number> {
    return this.#pass(() => this.#inner.put(key, value, expectedVersion));
  }

  remove(key: string, expectedVersion: number): Outcome<number> {
    return this.#pass(() => this.#inner.remove(key, expectedVersion));
  }

  watch(prefix: string, afterRevision: number, timeoutMs: number): Outcome<WatchBatch> {
    return this.#pass(() => this.#inner.watch(prefix, afterRevision, timeoutMs));
  }

  #pass<T>(call: () => Promise<T>): Promise<T> {
    return new Promise((resolve) => {
      this.#clock.outside(() => {
        call().then((outcome) => this.#clock.run(this.#node, () => resolve(outcome)));
      });
    });
  }
}
