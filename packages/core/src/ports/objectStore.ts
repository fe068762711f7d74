/**
 * The platform's object API as decisions see it.
 *
 * Keys are paths, values are JSON up to a megabyte, versions are revisions of the whole store that
 * only rise. Every call is counted by the platform, a waiting watch as one.
 */
import type { Result } from '../outcome.js';

export enum StoreErrorKind {
  /** The expected version is not the current one; nothing was written. */
  Conflict = 'conflict',
  /** Nothing was written: the platform refused or was not reached. */
  Unavailable = 'unavailable',
  /** The answer was lost; a write may have taken effect. */
  Unknown = 'unknown',
  /** The platform asks for fewer calls; nothing was written. */
  Throttled = 'throttled',
  /** The watch fell behind what the platform keeps; list anew. */
  Compacted = 'compacted',
  /** The platform refuses the call as malformed; nothing was written. */
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

/** A change seen by a watch; `value` is undefined where the object was removed. */
export interface ObjectChange {
  readonly key: string;
  readonly version: number;
  readonly value: unknown;
}

export interface WatchBatch {
  /** Revision up to which all changes have been told. */
  readonly revision: number;
  readonly changes: readonly ObjectChange[];
}

/** Version that means: the object must not exist yet. */
export const VERSION_ABSENT = 0;

/** Client of the platform's object API. */
export abstract class ObjectStore {
  /** Reads one object; Ok(undefined) where there is none. */
  abstract get(key: string): Promise<Result<StoredObject | undefined, StoreError>>;

  /** Lists the objects whose keys start with the prefix. */
  abstract list(prefix: string): Promise<Result<ObjectList, StoreError>>;

  /**
   * Writes one object if its version is still the expected one.
   *
   * @param expectedVersion version read before, or {@link VERSION_ABSENT} to create
   * @returns the new version
   */
  abstract put(
    key: string,
    value: unknown,
    expectedVersion: number,
  ): Promise<Result<number, StoreError>>;

  /** Removes one object if its version is still the expected one. */
  abstract remove(key: string, expectedVersion: number): Promise<Result<number, StoreError>>;

  /**
   * Waits for changes after a revision, at most for a time; an empty batch means that none came.
   *
   * @param timeoutMs longest time that the platform may hold the call
   */
  abstract watch(
    prefix: string,
    afterRevision: number,
    timeoutMs: number,
  ): Promise<Result<WatchBatch, StoreError>>;
}
