/**
 * One object in the platform that only this process writes, such as its registration.
 *
 * Each write is conditional on the version of the previous write. If that version is unknown,
 * because a response was lost or another incarnation wrote the object, it is read first.
 */
import { withCallTimeout } from '../config/callTimeout.js';
import type { PlatformPace } from '../config/platformPace.js';
import { Ok, type Result } from '../outcome.js';
import { VERSION_ABSENT, type ObjectStore, type StoreError } from '../ports/objectStore.js';

/** Time after which a call to the platform is given up. */
const CALL_TIMEOUT_MS = 4_000;

export interface OwnedObjectOptions {
  readonly store: ObjectStore;
  readonly pace: PlatformPace;
  readonly key: string;
}

/** Writes and removes one object by its expected version. */
export class OwnedObject {
  readonly #options: OwnedObjectOptions;

  /** Version of the last write; undefined if it must be read first. */
  #version: number | undefined;

  constructor(options: OwnedObjectOptions) {
    this.#options = options;
  }

  /**
   * Writes the value.
   *
   * @returns new version, or the error of the platform; the next write then reads the version first
   */
  async write(value: unknown): Promise<Result<number, StoreError>> {
    const expected = await this.#readVersion();
    if (!expected.ok) return expected;
    const { store, key } = this.#options;
    const written = await this.#callStore(store.put(key, value, expected.val));
    this.#version = written.ok ? written.val : undefined;
    return written;
  }

  /** Removes the object if it exists. */
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
    const outcome = await withCallTimeout(call, CALL_TIMEOUT_MS);
    this.#options.pace.recordResult(outcome);
    return outcome;
  }
}
