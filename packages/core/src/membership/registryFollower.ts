/** Keeps a local copy of one prefix of registrations, and tells when it changed. */
import type { ObjectChange, StoredObject } from '../ports/objectStore.js';
import { Deadline } from '../lease/deadline.js';
import { PrefixFollower, type FollowerContext } from '../config/prefixFollower.js';
import { REGISTRATION_VALID_MS } from './registry.js';

export interface RegistryFollowerOptions<T> extends FollowerContext {
  readonly prefix: string;
  readonly watchTimeoutMs: number;
  /** @returns undefined where a value is not what the prefix should hold */
  readonly parse: (value: unknown) => T | undefined;
  /** Called after each change, and after the first list. */
  readonly onChange: () => void;
  /** Called after each answer, with the end of a registration's validity since its call began. */
  readonly onAnswer?: (until: Deadline) => void;
}

/** Registered objects by name. */
export class RegistryFollower<T> extends PrefixFollower {
  readonly #options: RegistryFollowerOptions<T>;

  readonly #objects = new Map<string, T>();

  #isListed = false;

  constructor(options: RegistryFollowerOptions<T>) {
    super(options, options.prefix);
    this.#options = options;
  }

  /** Whether the platform has told the whole list at least once. */
  get isListed(): boolean {
    return this.#isListed;
  }

  /** Values by the part of the key after the prefix. */
  get objects(): ReadonlyMap<string, T> {
    return this.#objects;
  }

  protected takeList(objects: readonly StoredObject[]): void {
    this.#objects.clear();
    objects.forEach((object) => this.#write(object.key, object.value));
    this.#isListed = true;
    this.#options.onChange();
  }

  protected takeChanges(changes: readonly ObjectChange[]): void {
    changes.forEach((change) => this.#write(change.key, change.value));
    this.#options.onChange();
  }

  protected chooseWatchMs(): number {
    return this.#options.watchTimeoutMs;
  }

  protected beginCall(): () => void {
    const until = Deadline.after(REGISTRATION_VALID_MS);
    return () => this.#options.onAnswer?.(until);
  }

  #write(key: string, value: unknown): void {
    const name = key.slice(this.#options.prefix.length);
    const parsed = this.#options.parse(value);
    if (parsed === undefined) this.#objects.delete(name);
    else this.#objects.set(name, parsed);
  }
}
