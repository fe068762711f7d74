/**
 * Claims in the platform's object store, by conditional writes.
 *
 * A write whose answer is lost is read back: it took effect if the record names the same attempt in
 * the same state, and is tried again if the version has not moved.
 */
import { Err, Ok, type Result } from '../outcome.js';
import { StoreErrorKind, VERSION_ABSENT, type ObjectStore } from '../ports/objectStore.js';

import { parseClaimRecord, type ClaimRecord } from './claimRecord.js';

/** Writes of one record before the platform counts as out of reach. */
const WRITE_ATTEMPTS_MAX = 3;

/** Waits before a finished answer is written again, one after the other. */
const SAVE_DELAYS_MS = [250, 500, 1_000, 2_000, 4_000];

/** What a conditional write of a claim led to. */
export interface ClaimWrite {
  /** Version of the record that stands now. */
  readonly version: number;
  /** The record of someone else that stands; undefined where the write took effect. */
  readonly found: ClaimRecord | undefined;
}

function isSameWrite(a: ClaimRecord | undefined, b: ClaimRecord): boolean {
  return a?.attemptId === b.attemptId && a.state === b.state;
}

/** Writes and reads claims. */
export class ClaimKeeper {
  readonly #store: ObjectStore;

  readonly #backgroundWrites = new Set<Promise<void>>();

  constructor(store: ObjectStore) {
    this.#store = store;
  }

  /**
   * Writes a record where the expected version still stands.
   *
   * @param expectedVersion version read before, or VERSION_ABSENT for a new claim
   * @returns what stands now; Err with a sentence where the platform could not tell
   */
  async write(
    key: string,
    record: ClaimRecord,
    expectedVersion: number,
  ): Promise<Result<ClaimWrite, string>> {
    return this.#write(key, record, expectedVersion, WRITE_ATTEMPTS_MAX);
  }

  /** Writes a finished answer in the background, a few times if need be. */
  save(key: string, record: ClaimRecord, expectedVersion: number): void {
    this.#track(this.#save(key, record, expectedVersion, SAVE_DELAYS_MS));
  }

  /** Removes a claim in the background; where that fails, the claim is resolved by inquiry. */
  release(key: string, expectedVersion: number): void {
    this.#track(this.#store.remove(key, expectedVersion).then(() => undefined));
  }

  /** Resolves once nothing is being written in the background. */
  async settle(): Promise<void> {
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
    if (version !== expectedVersion && read.val) return Err('the claim cannot be read');
    if (attemptsLeft <= 1) return Err('the claim could not be written');
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

  #track(work: Promise<void>): void {
    this.#backgroundWrites.add(work);
    work.finally(() => this.#backgroundWrites.delete(work));
  }
}
