/**
 * Stores claims in the platform's object store by compare-and-set writes.
 *
 * If the response to a write is lost, the record is read back: the write took effect if the record
 * names the same attempt in the same state, and is retried if the version is unchanged.
 */
import { containFault, type FaultSinks } from '../fault.js';
import { Err, Ok, type Result } from '../outcome.js';
import { StoreErrorKind, VERSION_ABSENT, type ObjectStore } from '../ports/objectStore.js';

import { parseClaimRecord, type ClaimRecord } from './claimRecord.js';

const LOG_PART = 'claims';

/** Attempts to write one record before the platform is considered unavailable. */
const WRITE_ATTEMPTS_MAX = 3;

/** Delays before each retry of storing a finished answer. */
const SAVE_DELAYS_MS = [250, 500, 1_000, 2_000, 4_000];

/** Result of a compare-and-set write of a claim. */
export interface ClaimWrite {
  /** Version of the record that is stored now. */
  readonly version: number;
  /** The record that another request stored; undefined if the write took effect. */
  readonly found: ClaimRecord | undefined;
}

function isSameWrite(a: ClaimRecord | undefined, b: ClaimRecord): boolean {
  return a?.attemptId === b.attemptId && a.state === b.state;
}

/** Repository of claims. */
export class ClaimStore {
  readonly #store: ObjectStore;

  readonly #sinks: FaultSinks;

  readonly #backgroundWrites = new Set<Promise<unknown>>();

  constructor(store: ObjectStore, sinks: FaultSinks) {
    this.#store = store;
    this.#sinks = sinks;
  }

  /**
   * Writes a record if the stored version is still the expected one.
   *
   * @param expectedVersion version read before, or VERSION_ABSENT for a new claim
   * @returns what is stored now; Err with a description if the outcome could not be determined
   */
  async write(
    key: string,
    record: ClaimRecord,
    expectedVersion: number,
  ): Promise<Result<ClaimWrite, string>> {
    return this.#write(key, record, expectedVersion, WRITE_ATTEMPTS_MAX);
  }

  /** Stores a finished answer in the background, with retries. */
  save(key: string, record: ClaimRecord, expectedVersion: number): void {
    this.#track(this.#save(key, record, expectedVersion, SAVE_DELAYS_MS));
  }

  /**
   * Removes a claim in the background. If that fails, the next request with the key resolves the
   * claim by an inquiry to the side process.
   */
  release(key: string, expectedVersion: number): void {
    this.#track(this.#store.remove(key, expectedVersion).then(() => undefined));
  }

  /** Resolves once all background writes have completed. */
  async flush(): Promise<void> {
    await Promise.all(this.#backgroundWrites);
  }

  async #write(
    key: string,
    record: ClaimRecord,
    expectedVersion: number,
    attemptsLeft: number,
  ): Promise<Result<ClaimWrite, string>> {
    const written = await this.#store.put(key, record, expectedVersion);
    if (written.ok) return Ok({ version: written.val, found: undefined });

    const { kind, detail } = written.val;
    if (kind !== StoreErrorKind.Conflict && kind !== StoreErrorKind.Unknown) return Err(detail);
    const read = await this.#store.get(key);
    if (!read.ok) return Err(read.val.detail);

    const found = parseClaimRecord(read.val?.value);
    const version = read.val?.version ?? VERSION_ABSENT;
    if (isSameWrite(found, record)) return Ok({ version, found: undefined });
    if (version !== expectedVersion && found) return Ok({ version, found });
    if (version !== expectedVersion && read.val) return Err('the stored claim cannot be parsed');
    if (attemptsLeft <= 1) return Err('no write of the claim was confirmed');
    return this.#write(key, record, expectedVersion, attemptsLeft - 1);
  }

  async #save(
    key: string,
    record: ClaimRecord,
    expectedVersion: number,
    delaysMs: readonly number[],
  ): Promise<void> {
    const written = await this.write(key, record, expectedVersion);
    const [delayMs, ...laterMs] = delaysMs;
    if (written.ok || delayMs === undefined) return;
    await new Promise<void>((resolve) => {
      setTimeout(resolve, delayMs);
    });
    await this.#save(key, record, expectedVersion, laterMs);
  }

  #track(write: Promise<void>): void {
    const work = containFault(this.#sinks, LOG_PART, () => write);
    this.#backgroundWrites.add(work);
    work.then(() => this.#backgroundWrites.delete(work));
  }
}
