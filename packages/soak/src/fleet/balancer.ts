/** The platform's balancer: asks entries each second whether they are ready, and names them. */
import type { Random } from '@radishbay/core/ports/random.js';

import type { SoakEntry } from './soakEntry.js';

const ASK_MS = 1_000;

/** Questions in a row without a good answer that take an entry out. */
const MISSES_MAX = 2;

/** Part of the entries in rotation below which all are used. */
const ROTATION_PART_MIN = 0.5;

/** Entries that get new connections. */
export class Balancer {
  readonly #entries: readonly SoakEntry[];

  readonly #misses = new Map<string, number>();

  #timer: NodeJS.Timeout | undefined;

  constructor(entries: readonly SoakEntry[]) {
    this.#entries = entries;
  }

  start(): void {
    this.#timer = setInterval(() => this.#entries.forEach((entry) => this.#ask(entry)), ASK_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Chooses the entry of a new connection. */
  choose(random: Random): SoakEntry {
    const inRotation = this.#entries.filter(
      ({ name }) => (this.#misses.get(name) ?? 0) < MISSES_MAX,
    );
    const isEnough = inRotation.length >= this.#entries.length * ROTATION_PART_MIN;
    const choice = isEnough ? inRotation : this.#entries;
    const entry = choice[random.nextInt(choice.length)];
    if (!entry) throw new Error('the soak has no entries');
    return entry;
  }

  async #ask(entry: SoakEntry): Promise<void> {
    const isReady = await entry.isReady();
    this.#misses.set(entry.name, isReady ? 0 : (this.#misses.get(entry.name) ?? 0) + 1);
  }
}
