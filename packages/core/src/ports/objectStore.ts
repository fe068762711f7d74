/**
 * Interface to the platform's object API.
 *
 * Keys are paths and values are JSON of up to 1 MB. Versions are revisions of the whole store and
 * only increase within one era ({@link StoreEras}). The platform counts every call; a waiting watch
 * counts as one.
 */
import type { Result } from '../outcome.js';

import { StoreEras } from './storeEras.js';

export enum StoreErrorKind {
  /** The expected version is not the current one; nothing was written. */
  Conflict = 'conflict',
  /** The platform refused the call or was not reached; nothing was written. */
  Unavailable = 'unavailable',
  /** The answer was lost; a write may have taken effect. */
  Unknown = 'unknown',
  /** The platform limits the rate of calls; nothing was written. */
  Throttled = 'throttled',
  /** The watched revision is older than the history the platform keeps; list the objects again. */
  Compacted = 'compacted',
  /** The platform refused the call as malformed; nothing was written. */
  Invalid = 'invalid',
}

export interface StoreError {
  readonly kind: StoreErrorKind;
  readonly detail: string;
}

export interface StoredObject {
  readonly key: string;
  /** Revision of the last write to this object. */
  readonly version: number;
  readonly value: unknown;
}

export interface ObjectList {
  readonly revision: number;
  readonly objects: readonly StoredObject[];
}

/** A change reported by a watch; `value` is undefined if the object was removed. */
export interface ObjectChange {
  readonly key: string;
  readonly version: number;
  readonly value: unknown;
}

export interface WatchBatch {
  /** Revision up to which all changes have been reported. */
  readonly revision: number;
  readonly changes: readonly ObjectChange[];
}

/** Expected version of an object that must not exist yet. */
export const VERSION_ABSENT = 0;

/** Client of the platform's object API. */
export abstract class ObjectStore {
  /** Eras named by the store's answers; answers of an older era are returned as errors. */
  readonly eras = new StoreEras();

  /** Reads one object; Ok(undefined) if it does not exist. */
  abstract get(key: string): Promise<Result<StoredObject | undefined, StoreError>>;

  /** Lists the objects whose keys start with the prefix. */
  abstract list(prefix: string): Promise<Result<ObjectList, StoreError>>;

  /**
   * Writes one object if its version is the expected one.
   *
   * @param expectedVersion version read before, or {@link VERSION_ABSENT} to create the object
   * @returns the new version
   */
  abstract put(
    key: string,
    value: unknown,
    expectedVersion: number,
  ): Promise<Result<number, StoreError>>;

  /** Removes one object if its version is the expected one. */
  abstract remove(key: string, expectedVersion: number): Promise<Result<number, StoreError>>;

  /**
   * Waits for changes after a revision; an empty batch means that there were none in time.
   *
   * @param timeoutMs longest time for which the platform may hold the call
   */
  abstract watch(
    prefix: string,
    afterRevision: number,
    timeoutMs: number,
  ): Promise<Result<WatchBatch, StoreError>>;
}
