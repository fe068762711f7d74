/** The platform's balancer: asks entries each second whether they are ready, and names them. */
import type { Random } from '@radishbay/core/ports/random.js';

import type { SoakEntry } from './soakEntry.js';

const PROBE_INTERVAL_MS = 1_000;

/** Questions in a row without a good answer that take an entry out. */
const FAILED_PROBES_MAX = 2;

/** Part of the entries in rotation below which all are used. */
const ROTATION_RATIO_MIN = 0.5;

/** Entries that get new connections. */
export class Balancer {
  readonly #entries: readonly SoakEntry[];

  readonly #failedProbes = new Map<string, number>();

  #timer: NodeJS.Timeout | undefined;

  constructor(entries: readonly SoakEntry[]) {
    this.#entries = entries;
  }

  start(): void {
    this.#timer = setInterval(
      () => this.#entries.forEach((entry) => this.#probe(entry)),
      PROBE_INTERVAL_MS,
    );
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Chooses the entry of a new connection. */
  choose(random: Random): SoakEntry {
    const inRotation = this.#entries.filter(
      ({ name }) => (this.#failedProbes.get(name) ?? 0) < FAILED_PROBES_MAX,
    );
    const isEnough = inRotation.length >= this.#entries.length * ROTATION_RATIO_MIN;
    const candidates = isEnough ? inRotation : this.#entries;
    const entry = candidates[random.nextInt(candidates.length)];
    if (!entry) throw new Error('the soak has no entries');
    return entry;
  }

  async #probe(entry: SoakEntry): Promise<void> {
    const isReady = await entry.isReady();
    this.#failedProbes.set(entry.name, isReady ? 0 : (this.#failedProbes.get(entry.name) ?? 0) + 1);
  }
}
