/** The platform's object store in memory, with faults that tests can inject. */
import { Err, Ok, type Result } from '../../src/outcome.js';
import {
  ObjectStore,
  StoreErrorKind,
  type ObjectList,
  type StoreError,
  type StoredObject,
  type WatchBatch,
} from '../../src/ports/objectStore.js';

function fail(kind: StoreErrorKind): Promise<Result<never, StoreError>> {
  return Promise.resolve(Err({ kind, detail: 'fault injected by the test' }));
}

/** Map of objects with conditional writes. */
export class FakeStore extends ObjectStore {
  readonly objects = new Map<string, StoredObject>();

  isDown = false;

  /** Number of next writes that take effect although their answers are lost. */
  lostAnswers = 0;

  calls = 0;

  #revision = 0;

  get(key: string): Promise<Result<StoredObject | undefined, StoreError>> {
    this.calls += 1;
    if (this.isDown) return fail(StoreErrorKind.Unavailable);
    return Promise.resolve(Ok(this.objects.get(key)));
  }

  list(prefix: string): Promise<Result<ObjectList, StoreError>> {
    const objects = [...this.objects.values()].filter(({ key }) => key.startsWith(prefix));
    return Promise.resolve(Ok({ revision: this.#revision, objects }));
  }

  put(key: string, value: unknown, expected: number): Promise<Result<number, StoreError>> {
    return this.#write(key, expected, (version) => this.objects.set(key, { key, version, value }));
  }

  remove(key: string, expected: number): Promise<Result<number, StoreError>> {
    return this.#write(key, expected, () => this.objects.delete(key));
  }

  watch(): Promise<Result<WatchBatch, StoreError>> {
    return Promise.resolve(Ok({ revision: this.#revision, changes: [] }));
  }

  #write(
    key: string,
    expected: number,
    apply: (version: number) => void,
  ): Promise<Result<number, StoreError>> {
    this.calls += 1;
    if (this.isDown) return fail(StoreErrorKind.Unavailable);
    if ((this.objects.get(key)?.version ?? 0) !== expected) return fail(StoreErrorKind.Conflict);
    this.#revision += 1;
    apply(this.#revision);
    if (this.lostAnswers === 0) return Promise.resolve(Ok(this.#revision));
    this.lostAnswers -= 1;
    return fail(StoreErrorKind.Unknown);
  }
}
