/** The platform's balancer: probes entries for readiness each second and assigns connections. */
import type { Random } from '@radishbay/core/ports/random.js';

import type { SoakEntry } from './soakEntry.js';

const PROBE_INTERVAL_MS = 1_000;

/** Consecutive failed probes that take an entry out of rotation. */
const FAILED_PROBES_MAX = 2;

/** If a smaller fraction of the entries is in rotation, all entries are used. */
const ROTATION_RATIO_MIN = 0.5;

/** Chooses entries for new connections by the results of its probes. */
export class Balancer {
  readonly #entries: readonly SoakEntry[];

  /** Consecutive failed probes, by entry. */
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

  /** Chooses the entry for a new connection. */
  choose(random: Random): SoakEntry {
    const inRotation = this.#entries.filter(
      ({ name }) => (this.#failedProbes.get(name) ?? 0) < FAILED_PROBES_MAX,
    );
    const isEnough = inRotation.length >= this.#entries.length * ROTATION_RATIO_MIN;
    const candidates = isEnough ? inRotation : this.#entries;
    const entry = candidates[random.nextInt(candidates.length)];
    if (!entry) throw new Error('cannot choose an entry: the soak has none');
    return entry;
  }

  async #probe(entry: SoakEntry): Promise<void> {
    const isReady = await entry.isReady();
    this.#failedProbes.set(entry.name, isReady ? 0 : (this.#failedProbes.get(entry.name) ?? 0) + 1);
  }
}
