/**
 * Removes claims that are older than {@link CLAIM_RETENTION_MS}.
 *
 * One process at a time should sweep; concurrent sweeps are safe because removals are conditional.
 * The claims are partitioned by the first byte of their hashes, 256 partitions in all, to keep each
 * listing small.
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

/** Sweeps one partition of the claims per call, in turn. */
export class ClaimSweeper {
  readonly #store: ObjectStore;

  #partition = 0;

  constructor(store: ObjectStore) {
    this.#store = store;
  }

  /**
   * Sweeps the next partition. If it cannot be listed, it is skipped until the next round.
   *
   * @param nowMs wall-clock time
   * @returns number of claims removed
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
