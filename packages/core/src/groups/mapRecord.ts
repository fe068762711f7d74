/**
 * The expert maps of a group, stored on the platform.
 *
 * A version is reserved by conditional update before the map is staged, so no two maps share one.
 * Older maps stay until they are out of use, so that a rank that lost its map can load it again.
 */
import { z } from 'zod';

import { Err, Ok, type Result } from '../outcome.js';
import {
  StoreErrorKind,
  VERSION_ABSENT,
  type ObjectStore,
  type StoreError,
} from '../ports/objectStore.js';

import { EXPERT_MAP_SCHEMA, type ExpertMap, type GroupShape } from './expertMap.js';

const RECORD_SCHEMA = z.strictObject({
  fencingNumber: z.number().int().nonnegative(),
  maps: z.array(EXPERT_MAP_SCHEMA),
});

/** Maps kept: the next one, the one in force and the one before. */
const MAPS_KEPT = 3;

type RecordValue = z.infer<typeof RECORD_SCHEMA>;

/** Stored maps of one group, newest first. */
export class MapRecord {
  readonly #store: ObjectStore;

  readonly #key: string;

  #storeVersion = VERSION_ABSENT;

  #value: RecordValue = { fencingNumber: 0, maps: [] };

  constructor(store: ObjectStore, group: string) {
    this.#store = store;
    this.#key = `group-map/${group}`;
  }

  get maps(): readonly ExpertMap[] {
    return this.#value.maps;
  }

  /** Reads the record from the platform. */
  async load(): Promise<Result<readonly ExpertMap[], StoreError>> {
    const read = await this.#store.get(this.#key);
    if (!read.ok) return read;
    if (!read.val) return Ok(this.maps);
    const parsed = RECORD_SCHEMA.safeParse(read.val.value);
    if (!parsed.success) return Err({ kind: StoreErrorKind.Invalid, detail: 'invalid map record' });
    this.#storeVersion = read.val.version;
    this.#value = parsed.data;
    return Ok(this.maps);
  }

  /**
   * Records a map under the next version; reads the record back if the write is not answered.
   *
   * @param keepVersion version of the map in force, which is never dropped
   * @returns `Conflict` if another coordinator has written the record
   */
  async add(
    slots: readonly number[],
    shape: GroupShape,
    fencingNumber: number,
    keepVersion: number,
  ): Promise<Result<ExpertMap, StoreError>> {
    if (fencingNumber < this.#value.fencingNumber) {
      return Err({
        kind: StoreErrorKind.Conflict,
        detail: 'map record was written under a higher fencing number',
      });
    }
    const version = (this.maps[0]?.version ?? 0) + 1;
    const map = { version, shape, slots: [...slots] };
    const older = this.#value.maps.filter(
      (each, index) => index < MAPS_KEPT - 1 || each.version === keepVersion,
    );
    const value: RecordValue = { fencingNumber, maps: [map, ...older] };
    const written = await this.#store.put(this.#key, value, this.#storeVersion);
    if (written.ok) {
      this.#storeVersion = written.val;
      this.#value = value;
      return Ok(map);
    }
    return written.val.kind === StoreErrorKind.Unknown ? this.#readBack(map, value) : written;
  }

  async #readBack(map: ExpertMap, value: RecordValue): Promise<Result<ExpertMap, StoreError>> {
    const read = await this.load();
    if (!read.ok) return read;
    const [newest] = this.maps;
    const isOwnWrite =
      newest?.version === map.version && this.#value.fencingNumber === value.fencingNumber;
    if (isOwnWrite && newest) return Ok(newest);
    return Err({
      kind: StoreErrorKind.Unknown,
      detail: 'map record does not have the new map after an unanswered write',
    });
  }
}
