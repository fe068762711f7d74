/**
 * A compare-and-set write that is retried until its outcome is known, even if responses are lost.
 *
 * The same write is repeated until the platform responds to an attempt. As every attempt is
 * conditional on the same version, at most one of them takes effect. After a conflict the object is
 * read, since an earlier attempt may have caused it. Reading without repeating the write would not
 * be enough: a write whose response was lost may still take effect after the read.
 */
import { withCallTimeout } from '../config/callTimeout.js';
import type { PlatformPace } from '../config/platformPace.js';
import type { Deadline } from '../lease/deadline.js';
import type { Backoff } from '../membership/backoff.js';
import type { Result } from '../outcome.js';
import {
  StoreErrorKind,
  type ObjectStore,
  type StoredObject,
  type StoreError,
} from '../ports/objectStore.js';
import { wait } from '../wait.js';

/** Time after which the outcome of a call counts as unknown. */
const CALL_TIMEOUT_MS = 4_000;

export enum WriteOutcome {
  Written = 'written',
  /** Another write took effect first; this one did not and can no longer take effect. */
  Conflict = 'lost',
  /** Nothing was written, and no attempt can still take effect. */
  NotWritten = 'not-written',
  /** It may have taken effect, or may still take effect. */
  Unknown = 'unknown',
  /** The platform rejected the value. */
  Invalid = 'invalid',
}

export interface WriteResult {
  readonly outcome: WriteOutcome;
  /** Version of the object that this write created; 0 unless written. */
  readonly version: number;
  /** The stored object, if it was read after a conflict. */
  readonly current: StoredObject | undefined;
  readonly detail: string;
}

/** One compare-and-set write. */
export interface ConditionalWrite {
  readonly key: string;
  /** New value; undefined removes the object. */
  readonly value: object | undefined;
  readonly expectedVersion: number;
  /** Returns the version that this write created; undefined if it did not take effect. */
  readonly findOwnVersion: (
    current: StoredObject | undefined,
    revision: number,
  ) => number | undefined;
}

export interface RetryingWriterOptions {
  readonly store: ObjectStore;
  readonly pace: PlatformPace;
  readonly backoff: () => Backoff;
}

function createResult(
  outcome: WriteOutcome,
  version: number,
  detail: string,
  current?: StoredObject,
): WriteResult {
  return { outcome, version, current, detail };
}

/** Writes objects with retries and resolves lost responses and conflicts. */
export class RetryingWriter {
  readonly #options: RetryingWriterOptions;

  constructor(options: RetryingWriterOptions) {
    this.#options = options;
  }

  /**
   * Writes an object, retrying until a deadline.
   *
   * @param until end of the attempts; the outcome is unknown if an attempt may still take effect
   */
  async write(write: ConditionalWrite, until: Deadline): Promise<WriteResult> {
    return this.#attempt(write, until, this.#options.backoff(), false);
  }

  async #attempt(
    write: ConditionalWrite,
    until: Deadline,
    backoff: Backoff,
    hadUnconfirmedAttempt: boolean,
  ): Promise<WriteResult> {
    const answer = await this.#call(this.#send(write));
    if (answer.ok) return createResult(WriteOutcome.Written, answer.val, '');
    const { kind, detail } = answer.val;
    if (kind === StoreErrorKind.Invalid) return createResult(WriteOutcome.Invalid, 0, detail);
    if (kind === StoreErrorKind.Conflict) {
      const result = await this.#resolveConflict(write);
      if (result) return result;
    }
    const hasUnconfirmedAttempt = hadUnconfirmedAttempt || kind === StoreErrorKind.Unknown;
    const delayMs = backoff.next() * this.#options.pace.factor;
    if (until.remainingMs <= delayMs) {
      const isUndetermined = hasUnconfirmedAttempt || kind === StoreErrorKind.Conflict;
      return createResult(
        isUndetermined ? WriteOutcome.Unknown : WriteOutcome.NotWritten,
        0,
        detail,
      );
    }
    await wait(delayMs);
    return this.#attempt(write, until, backoff, hasUnconfirmedAttempt);
  }

  /**
   * Reads the object after a conflict to determine whether an earlier attempt took effect.
   *
   * @returns undefined if the object could not be read
   */
  async #resolveConflict(write: ConditionalWrite): Promise<WriteResult | undefined> {
    const listed = await this.#call(this.#options.store.list(write.key));
    if (!listed.ok) return undefined;
    const { objects, revision } = listed.val;
    const current = objects.find((object) => object.key === write.key);
    const version = write.findOwnVersion(current, revision);
    if (version !== undefined) return createResult(WriteOutcome.Written, version, '', current);
    return createResult(
      WriteOutcome.Conflict,
      0,
      `${write.key} was changed by another write`,
      current,
    );
  }

  #send(write: ConditionalWrite): Promise<Result<number, StoreError>> {
    const { key, value, expectedVersion } = write;
    const { store } = this.#options;
    return value ? store.put(key, value, expectedVersion) : store.remove(key, expectedVersion);
  }

  async #call<T>(call: Promise<Result<T, StoreError>>): Promise<Result<T, StoreError>> {
    const answer = await withCallTimeout(call, CALL_TIMEOUT_MS);
    this.#options.pace.recordResult(answer);
    return answer;
  }
}
