/**
 * Learns by which factor each workspace's declarations are wrong.
 *
 * Handles a caller whose hints are false: without it, its requests would look cheap at every
 * choice. Holds only the workspaces that were active most recently.
 */

/** Workspaces that are remembered. */
const WORKSPACES_MAX = 2_048;

/** Weight of all earlier values against the newest. */
const DECAY = 0.95;

/** Values without error that are assumed before the first: one odd answer corrects little. */
const PRIOR_WEIGHT = 3;

/** Largest correction in either direction. */
const FACTOR_MAX = 8;

interface Bias {
  readonly weight: number;
  /** Weighted sum of the logarithms of observed over expected. */
  readonly logSum: number;
}

/** Correction factors of workspaces. */
export class WorkspaceBias {
  /** In order of their latest value. */
  readonly #byWorkspace = new Map<string, Bias>();

  get size(): number {
    return this.#byWorkspace.size;
  }

  /** Factor of a workspace; 1 where nothing is known of it. */
  readFactor(workspace: string): number {
    const known = this.#byWorkspace.get(workspace);
    if (!known) return 1;
    const factor = Math.exp(known.logSum / (known.weight + PRIOR_WEIGHT));
    return Math.min(FACTOR_MAX, Math.max(1 / FACTOR_MAX, factor));
  }

  /** Records the ratio of observed to expected, before the correction. */
  add(workspace: string, ratio: number): void {
    const { weight, logSum } = this.#byWorkspace.get(workspace) ?? { weight: 0, logSum: 0 };
    this.#byWorkspace.delete(workspace);
    this.#byWorkspace.set(workspace, {
      weight: weight * DECAY + 1,
      logSum: logSum * DECAY + Math.log(ratio),
    });
    if (this.#byWorkspace.size > WORKSPACES_MAX) this.#evictOldest();
  }

  #evictOldest(): void {
    const { value } = this.#byWorkspace.keys().next();
    if (value !== undefined) this.#byWorkspace.delete(value);
  }
}
