/**
 * Removes claims that are older than the time for which a key is remembered.
 *
 * One process at a time should sweep; two do no harm, as removals are conditional. The claims are
 * walked in 256 parts by the first byte of their hashes, so that no listing grows large.
 */
import type { ObjectStore, StoredObject } from '../ports/objectStore.js';

import { CLAIM_RETENTION_MS, CLAIM_PREFIX, parseClaimRecord } from './claimRecord.js';

const PARTITION_COUNT = 256;

function formatPartitionPrefix(partition: number): string {
  return `${CLAIM_PREFIX}${partition.toString(16).padStart(2, '0')}`;
}

function isExpired(object: StoredObject, nowMs: number): boolean {
  const record = parseClaimRecord(object.value);
  return record !== undefined && nowMs - record.claimedAtMs > CLAIM_RETENTION_MS;
}

/** Walks the claims part by part. */
export class ClaimSweeper {
  readonly #store: ObjectStore;

  #partition = 0;

  constructor(store: ObjectStore) {
    this.#store = store;
  }

  /**
   * Sweeps the next part; a part that cannot be listed is left for the next walk.
   *
   * @param nowMs wall-clock time
   * @returns claims removed
   */
  async sweepNext(nowMs: number): Promise<number> {
    const listed = await this.#store.list(formatPartitionPrefix(this.#partition));
    this.#partition = (this.#partition + 1) % PARTITION_COUNT;
    if (!listed.ok) return 0;
    const expired = listed.val.objects.filter((object) => isExpired(object, nowMs));
    const removals = expired.map(({ key, version }) => this.#store.remove(key, version));
    const removed = await Promise.all(removals);
    return removed.filter((each) => each.ok).length;
  }
}
