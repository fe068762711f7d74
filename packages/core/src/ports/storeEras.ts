/**
 * Eras of the platform's object store.
 *
 * The store may return from an older copy of its objects. Revisions then go back and are given out
 * again, so two revisions can only be compared within one era. A store that never returns from a
 * copy has no eras.
 */

/** Called with the new era and the one before it. */
export type EraListener = (era: number, previous: number) => void;

/** Tracks the newest era that a store has named in its answers. */
export class StoreEras {
  #current: number | undefined;

  readonly #listeners = new Set<EraListener>();

  /** Newest era seen; undefined until an answer has named one. */
  get current(): number | undefined {
    return this.#current;
  }

  /**
   * Records the era that an answer names, and notifies the listeners if it is a new one.
   *
   * @returns false if the answer is from an older era and must be discarded
   */
  observe(era: number): boolean {
    const previous = this.#current;
    if (previous !== undefined && era < previous) return false;
    this.#current = era;
    if (previous !== undefined && era > previous) {
      [...this.#listeners].forEach((listener) => listener(era, previous));
    }
    return true;
  }

  /** Adds a listener for new eras; the returned function removes it. */
  onChange(listener: EraListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }
}
