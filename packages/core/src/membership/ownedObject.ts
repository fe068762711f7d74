/**
 * One object of the platform that this process alone writes, such as its registration.
 *
 * Each write is conditional on the version written before; where that is not known, because the
 * answer was lost or another incarnation wrote, it is read first.
 */
import { boundCall } from '../config/boundedCall.js';
import type { PlatformPace } from '../config/platformPace.js';
import { Ok, type Result } from '../outcome.js';
import { VERSION_ABSENT, type ObjectStore, type StoreError } from '../ports/objectStore.js';

/** Time after which a call counts as lost. */
const CALL_TIMEOUT_MS = 4_000;

export interface OwnedObjectOptions {
  readonly store: ObjectStore;
  readonly pace: PlatformPace;
  readonly key: string;
}

/** An object written by one owner. */
export class OwnedObject {
  readonly #options: OwnedObjectOptions;

  /** Undefined where it must be read first. */
  #version: number | undefined;

  constructor(options: OwnedObjectOptions) {
    this.#options = options;
  }

  /** Writes the value; on an error the next write reads the version first. */
  async write(value: unknown): Promise<Result<number, StoreError>> {
    const expected = await this.#readVersion();
    if (!expected.ok) return expected;
    const { store, key } = this.#options;
    const written = await this.#callStore(store.put(key, value, expected.val));
    this.#version = written.ok ? written.val : undefined;
    return written;
  }

  /** Removes the object. */
  async remove(): Promise<Result<number, StoreError>> {
    const expected = await this.#readVersion();
    if (!expected.ok || expected.val === VERSION_ABSENT) return expected;
    const { store, key } = this.#options;
    this.#version = undefined;
    return this.#callStore(store.remove(key, expected.val));
  }

  async #readVersion(): Promise<Result<number, StoreError>> {
    if (this.#version !== undefined) return Ok(this.#version);
    const read = await this.#callStore(this.#options.store.get(this.#options.key));
    if (!read.ok) return read;
    return Ok(read.val?.version ?? VERSION_ABSENT);
  }

  async #callStore<T>(call: Promise<Result<T, StoreError>>): Promise<Result<T, StoreError>> {
    const outcome = await boundCall(call, CALL_TIMEOUT_MS);
    this.#options.pace.note(outcome);
    return outcome;
  }
}
