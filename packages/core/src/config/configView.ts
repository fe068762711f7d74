/**
 * The configuration in force in one process.
 *
 * Versions only increase: an object is replaced only by a newer one, and the revision never
 * decreases. An invalid object is recorded as a fault, and the valid one stays in force.
 */
import {
  ConfigKind,
  parseConfigKey,
  parseConfigObject,
  type ConfigFault,
  type ConfigTypes,
} from './object.js';

/** One changed object, as received from the platform or from another process. */
export interface ConfigChange {
  readonly key: string;
  readonly version: number;
  /** Undefined if the object was removed. */
  readonly value: unknown;
}

interface VersionedObject {
  readonly version: number;
  readonly raw: unknown;
  readonly kind: ConfigKind;
  readonly name: string;
  /** Undefined if the object was removed. */
  readonly object: ConfigTypes[ConfigKind] | undefined;
}

/** Objects in force, by kind and name. */
export class ConfigView {
  readonly #objectsByKey = new Map<string, VersionedObject>();

  readonly #byKind = new Map<ConfigKind, Map<string, ConfigTypes[ConfigKind]>>();

  readonly #faultsByKey = new Map<string, readonly ConfigFault[]>();

  #revision = 0;

  constructor() {
    Object.values(ConfigKind).forEach((kind) => this.#byKind.set(kind, new Map()));
  }

  /** Revision up to which all changes have been applied. */
  get revision(): number {
    return this.#revision;
  }

  /** Faults of objects whose latest change was rejected, by key. */
  get faults(): ReadonlyMap<string, readonly ConfigFault[]> {
    return this.#faultsByKey;
  }

  /** Reads one object. */
  get<K extends ConfigKind>(kind: K, name: string): ConfigTypes[K] | undefined {
    return this.#byKind.get(kind)?.get(name) as ConfigTypes[K] | undefined;
  }

  /** Reads all objects of a kind. */
  list<K extends ConfigKind>(kind: K): readonly ConfigTypes[K][] {
    return [...(this.#byKind.get(kind)?.values() ?? [])] as ConfigTypes[K][];
  }

  /** Version of an object; 0 if it is not known. */
  readVersion(key: string): number {
    return this.#objectsByKey.get(key)?.version ?? 0;
  }

  /** Lists the raw objects that changed after a revision, removals included. */
  listChanges(afterRevision: number): readonly ConfigChange[] {
    return [...this.#objectsByKey.entries()]
      .filter(([, held]) => held.version > afterRevision)
      .map(([key, held]) => ({ key, version: held.version, value: held.raw }));
  }

  /**
   * Applies changes up to a revision.
   *
   * @param isFull whether the changes are the complete configuration: missing objects are removed
   * @returns keys whose objects changed
   */
  apply(changes: readonly ConfigChange[], revision: number, isFull: boolean): readonly string[] {
    if (isFull && revision < this.#revision) return [];
    const changed = changes
      .filter((change) => this.#applyChange(change))
      .map((change) => change.key);
    const removed = isFull ? this.#removeMissing(changes, revision) : [];
    this.#revision = Math.max(this.#revision, revision);
    return [...changed, ...removed];
  }

  #applyChange(change: ConfigChange): boolean {
    const id = parseConfigKey(change.key);
    if (!id || this.readVersion(change.key) >= change.version) return false;
    if (change.value === undefined || change.value === null) {
      this.#setObject(change, id.kind, id.name, undefined);
      return true;
    }
    const parsed = parseConfigObject(id.kind, id.name, change.value);
    if (!parsed.ok) {
      this.#faultsByKey.set(change.key, parsed.val);
      return false;
    }
    this.#setObject(change, id.kind, id.name, parsed.val);
    return true;
  }

  #setObject(
    change: ConfigChange,
    kind: ConfigKind,
    name: string,
    object: ConfigTypes[ConfigKind] | undefined,
  ): void {
    this.#faultsByKey.delete(change.key);
    this.#objectsByKey.set(change.key, {
      version: change.version,
      raw: change.value,
      kind,
      name,
      object,
    });
    if (object) this.#byKind.get(kind)?.set(name, object);
    else this.#byKind.get(kind)?.delete(name);
  }

  #removeMissing(changes: readonly ConfigChange[], revision: number): readonly string[] {
    const present = new Set(changes.map((change) => change.key));
    const missing = [...this.#objectsByKey.entries()].filter(
      ([key, held]) => !present.has(key) && held.object && held.version <= revision,
    );
    missing.forEach(([key, held]) =>
      this.#setObject(
        { key, version: revision, value: undefined },
        held.kind,
        held.name,
        undefined,
      ),
    );
    return missing.map(([key]) => key);
  }
}
