/** Keeps a local copy of the registrations under one prefix, and notifies of changes. */
import type { ObjectChange, StoredObject } from '../ports/objectStore.js';
import { Deadline } from '../lease/deadline.js';
import { PrefixFollower, type FollowerContext } from '../config/prefixFollower.js';
import { REGISTRATION_VALID_MS } from './registry.js';

export interface RegistryFollowerOptions<T> extends FollowerContext {
  readonly prefix: string;
  readonly watchTimeoutMs: number;
  /** @returns undefined if the value is not valid for the prefix */
  readonly parse: (value: unknown) => T | undefined;
  /** Called after each batch of changes, and after each full list. */
  readonly onChange: () => void;
  /**
   * Called after each successful call, with the end of a registration's validity counted from the
   * start of the call.
   */
  readonly onAnswer?: (until: Deadline) => void;
}

/** Follows the registered objects of one prefix. */
export class RegistryFollower<T> extends PrefixFollower {
  readonly #options: RegistryFollowerOptions<T>;

  readonly #objects = new Map<string, T>();

  #isListed = false;

  constructor(options: RegistryFollowerOptions<T>) {
    super(options, options.prefix);
    this.#options = options;
  }

  /** Whether the full list has been received at least once. */
  get isListed(): boolean {
    return this.#isListed;
  }

  /** Values by name, the part of the key after the prefix. */
  get objects(): ReadonlyMap<string, T> {
    return this.#objects;
  }

  protected handleList(objects: readonly StoredObject[]): void {
    this.#objects.clear();
    objects.forEach((object) => this.#write(object.key, object.value));
    this.#isListed = true;
    this.#options.onChange();
  }

  protected handleChanges(changes: readonly ObjectChange[]): void {
    changes.forEach((change) => this.#write(change.key, change.value));
    this.#options.onChange();
  }

  protected chooseWatchTimeoutMs(): number {
    return this.#options.watchTimeoutMs;
  }

  protected override onRecovery(): void {}

  protected onCallStart(): () => void {
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
