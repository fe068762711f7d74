/**
 * The maps of a group as the platform keeps them.
 *
 * Versions are taken by conditional update before a map is staged, so no two maps share a version,
 * and older maps stay until they are out of use, so that a rank that lost its map can be given it.
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

/** Maps kept: the one in force, the one before, and the next. */
const MAPS_KEPT = 3;

type RecordValue = z.infer<typeof RECORD_SCHEMA>;

/** Maps of one group, newest first. */
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

  /** Reads the record anew. */
  async load(): Promise<Result<readonly ExpertMap[], StoreError>> {
    const read = await this.#store.get(this.#key);
    if (!read.ok) return read;
    if (!read.val) return Ok(this.maps);
    const parsed = RECORD_SCHEMA.safeParse(read.val.value);
    if (!parsed.success) return Err({ kind: StoreErrorKind.Invalid, detail: 'map record' });
    this.#storeVersion = read.val.version;
    this.#value = parsed.data;
    return Ok(this.maps);
  }

  /**
   * Takes the next version for a map and records it; a lost answer is resolved by reading back.
   *
   * @param keepVersion map in force, which stays
   */
  async add(
    slots: readonly number[],
    shape: GroupShape,
    fencingNumber: number,
    keepVersion: number,
  ): Promise<Result<ExpertMap, StoreError>> {
    if (fencingNumber < this.#value.fencingNumber) {
      return Err({ kind: StoreErrorKind.Conflict, detail: 'a newer coordinator has written' });
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
    return Err({ kind: StoreErrorKind.Unknown, detail: 'the write was not found' });
  }
}
