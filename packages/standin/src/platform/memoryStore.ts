/**
 * In-memory implementation of the platform's object API with fault injection, on the runtime's
 * clock.
 *
 * All clients created by {@link MemoryObjectStore.connect} share the objects, the call numbering
 * and the observers; each client has its own fault and delay.
 */
import { Err, Ok, type Result } from '@radishbay/core/outcome.js';
import {
  ObjectStore,
  StoreErrorKind,
  type ObjectList,
  type StoredObject,
  type StoreError,
  type WatchBatch,
} from '@radishbay/core/ports/objectStore.js';

import { MemoryObjects } from './memoryObjects.js';
import { StoreFault, StoreOperation, type StoreObserver } from './storeFault.js';

/** Time after which a call without a response times out. */
const CALL_TIMEOUT_MS = 1_000;

/** Time from the caller's timeout until a late call takes effect. */
const LATE_EFFECT_MS = 500;

/** State shared by the clients of one platform. */
interface SharedState {
  readonly objects: MemoryObjects;
  readonly observers: Set<StoreObserver>;
  callCount: number;
}

type Outcome<T> = Result<T, StoreError>;

function wait(delayMs: number): Promise<void> {
  if (delayMs <= 0) return Promise.resolve();
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}

function waitForever<T>(): Promise<T> {
  return new Promise(() => {});
}

async function timeOut(): Promise<Outcome<never>> {
  await wait(CALL_TIMEOUT_MS);
  return Err({ kind: StoreErrorKind.Unknown, detail: 'no answer in time' });
}

/** A client of the stand-in platform. */
export class MemoryObjectStore extends ObjectStore {
  readonly #name: string;

  readonly #shared: SharedState;

  readonly #watchAborters = new Set<() => void>();

  #fault = StoreFault.None;

  /** Delay of each call before it takes effect. */
  delayMs = 0;

  /**
   * @param name name of this client in {@link StoreCall}
   * @param shared omitted for a new, empty platform
   */
  constructor(name = 'client', shared?: SharedState) {
    super();
    this.#name = name;
    this.#shared = shared ?? { objects: new MemoryObjects(), observers: new Set(), callCount: 0 };
  }

  /** Direct access to the objects, without faults or delay. */
  get objects(): MemoryObjects {
    return this.#shared.objects;
  }

  /** Number of calls so far by all clients. */
  get callCount(): number {
    return this.#shared.callCount;
  }

  /** Creates another client of the same platform. */
  connect(name: string): MemoryObjectStore {
    return new MemoryObjectStore(name, this.#shared);
  }

  /** Adds an observer of the calls of all clients; the returned function removes it. */
  observe(observer: StoreObserver): () => void {
    this.#shared.observers.add(observer);
    return () => this.#shared.observers.delete(observer);
  }

  /** Sets the fault of this client's later calls; any fault also aborts its waiting watches. */
  setFault(fault: StoreFault): void {
    this.#fault = fault;
    if (fault !== StoreFault.None) [...this.#watchAborters].forEach((breakOff) => breakOff());
  }

  get(key: string): Promise<Outcome<StoredObject | undefined>> {
    return this.#call(StoreOperation.Get, key, () => Ok(this.objects.get(key)));
  }

  list(prefix: string): Promise<Outcome<ObjectList>> {
    return this.#call(StoreOperation.List, prefix, () => Ok(this.objects.list(prefix)));
  }

  put(key: string, value: unknown, expectedVersion: number): Promise<Outcome<number>> {
    const apply = () => this.objects.put(key, value, expectedVersion);
    return this.#call(StoreOperation.Put, key, apply);
  }

  remove(key: string, expectedVersion: number): Promise<Outcome<number>> {
    const apply = () => this.objects.remove(key, expectedVersion);
    return this.#call(StoreOperation.Remove, key, apply);
  }

  async watch(
    prefix: string,
    afterRevision: number,
    timeoutMs: number,
  ): Promise<Outcome<WatchBatch>> {
    const apply = () => this.objects.listChanges(prefix, afterRevision);
    const first = await this.#call(StoreOperation.Watch, prefix, apply);
    if (!first.ok) return first;
    const current = apply();
    if (!current.ok || current.val.changes.length > 0) return current;
    const isBroken = await this.#waitForChange(prefix, timeoutMs);
    if (isBroken) return this.#breakWatch();
    return apply();
  }

  async #call<T>(
    operation: StoreOperation,
    key: string,
    apply: () => Outcome<T>,
  ): Promise<Outcome<T>> {
    const fault = this.#chooseFault(operation, key);
    await wait(this.delayMs);
    switch (fault) {
      case StoreFault.Unavailable:
        return Err({ kind: StoreErrorKind.Unavailable, detail: 'the platform is down' });
      case StoreFault.Throttled:
        return Err({ kind: StoreErrorKind.Throttled, detail: 'too many calls' });
      case StoreFault.Silent:
        return waitForever();
      case StoreFault.RequestLost:
        return timeOut();
      case StoreFault.AnswerLost:
        apply();
        return timeOut();
      case StoreFault.LateEffect:
        setTimeout(apply, CALL_TIMEOUT_MS + LATE_EFFECT_MS);
        return timeOut();
      default:
        return apply();
    }
  }

  /**
   * Numbers the call and passes it to all observers.
   *
   * @returns the first fault that an observer chose, or else this client's own
   */
  #chooseFault(operation: StoreOperation, key: string): StoreFault {
    this.#shared.callCount += 1;
    const call = { number: this.#shared.callCount, client: this.#name, operation, key };
    const chosen = [...this.#shared.observers].map((observer) => observer(call));
    return chosen.find((fault) => fault !== undefined) ?? this.#fault;
  }

  /** @returns true if a fault aborted the wait, false after a change or the timeout */
  #waitForChange(prefix: string, timeoutMs: number): Promise<boolean> {
    return new Promise((resolve) => {
      const cleanups: (() => void)[] = [];
      const settle = (isBroken: boolean) => {
        cleanups.forEach((cleanup) => cleanup());
        resolve(isBroken);
      };
      const breakOff = () => settle(true);
      const timer = setTimeout(() => settle(false), timeoutMs);
      const stopListening = this.objects.onChange((change) => {
        if (change.key.startsWith(prefix)) settle(false);
      });
      this.#watchAborters.add(breakOff);
      cleanups.push(
        () => clearTimeout(timer),
        stopListening,
        () => this.#watchAborters.delete(breakOff),
      );
    });
  }

  #breakWatch(): Promise<Outcome<never>> {
    if (this.#fault === StoreFault.Silent) return waitForever();
    return Promise.resolve(
      Err({ kind: StoreErrorKind.Unavailable, detail: 'the watch broke off' }),
    );
  }
}
