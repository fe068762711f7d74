/**
 * A conditional write whose outcome is settled also where answers are lost.
 *
 * The same write is repeated until the platform has answered one of them: as it is conditional on
 * one version, at most one of them takes effect. A conflict is then looked into, since the winner
 * may have been an earlier one of these. Reading alone would not do: a write whose answer was lost
 * may still take effect after the read.
 */
import { boundCall } from '../config/boundedCall.js';
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

/** Time after which a call counts as lost. */
const CALL_TIMEOUT_MS = 4_000;

export enum WriteOutcome {
  Written = 'written',
  /** Another write came first; this one took no effect and never will. */
  Conflict = 'lost',
  /** Nothing was written, and nothing is on its way. */
  NotWritten = 'not-written',
  /** It may have taken effect, or may still. */
  Unknown = 'unknown',
  /** The platform refuses the value. */
  Invalid = 'invalid',
}

export interface WriteResult {
  readonly outcome: WriteOutcome;
  /** Version of the object with this write in it, where written. */
  readonly version: number;
  /** What stands in the platform, where another write came first. */
  readonly current: StoredObject | undefined;
  readonly detail: string;
}

/** One conditional write. */
export interface ConditionalWrite {
  readonly key: string;
  /** Undefined removes the object. */
  readonly value: object | undefined;
  readonly expectedVersion: number;
  /** Finds this write in what stands in the platform; its version, or undefined. */
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

/** Writes and settles. */
export class RetryingWriter {
  readonly #options: RetryingWriterOptions;

  constructor(options: RetryingWriterOptions) {
    this.#options = options;
  }

  /**
   * Writes once, trying until a deadline.
   *
   * @param until end of the attempts; the outcome is unknown if no answer came by then
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

  /** @returns undefined where the platform did not tell what stands there */
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
    const answer = await boundCall(call, CALL_TIMEOUT_MS);
    this.#options.pace.note(answer);
    return answer;
  }
}
