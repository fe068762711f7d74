/**
 * Registers the address of a side process in the platform, once per start of the process.
 *
 * A replaced VM returns with another address, which entries learn from the registry. If the
 * platform is unreachable, registration is retried; until it succeeds, entries use the address in
 * the configuration.
 */
import { PlatformPace } from '../config/platformPace.js';
import type { ObjectStore } from '../ports/objectStore.js';
import type { Random } from '../ports/random.js';

import { Backoff } from './backoff.js';
import { OwnedObject } from './ownedObject.js';
import { SIDE_REGISTRY_PREFIX, type Registration } from './registry.js';

const RETRY_MIN_MS = 200;
const RETRY_MAX_MS = 10_000;

export interface SideRegistrarOptions {
  readonly store: ObjectStore;
  readonly random: Random;
  readonly upstream: string;
  readonly registration: Registration;
}

/** Writes the registration of one side process, with retries. */
export class SideRegistrar {
  readonly #object: OwnedObject;

  readonly #registration: Registration;

  readonly #backoff: Backoff;

  #timer: NodeJS.Timeout | undefined;

  #isStopped = false;

  constructor({ store, random, upstream, registration }: SideRegistrarOptions) {
    const key = SIDE_REGISTRY_PREFIX + upstream;
    this.#object = new OwnedObject({ store, pace: new PlatformPace(), key });
    this.#registration = registration;
    this.#backoff = new Backoff(random, RETRY_MIN_MS, RETRY_MAX_MS);
  }

  start(): void {
    this.#object.write(this.#registration).then((written) => {
      if (written.ok || this.#isStopped) return;
      this.#timer = setTimeout(() => this.start(), this.#backoff.next());
    });
  }

  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#timer);
  }
}
