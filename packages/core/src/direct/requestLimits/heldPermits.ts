/** Permits of this entry to send one request each to an upstream with a request limit. */

/** Permits by incarnation; each expires unless it is used. */
export class HeldPermits {
  readonly #expiriesMs = new Map<string, readonly number[]>();

  /** Number of valid permits for one incarnation. */
  count(incarnation: string, nowMs: number): number {
    return this.#listValid(incarnation, nowMs).length;
  }

  /** Number of valid permits for any of the given incarnations. */
  countAll(incarnations: readonly string[], nowMs: number): number {
    return incarnations.reduce((sum, each) => sum + this.count(each, nowMs), 0);
  }

  add(incarnation: string, count: number, expiresAtMs: number): void {
    const known = this.#expiriesMs.get(incarnation) ?? [];
    const added = Array.from({ length: count }, () => expiresAtMs);
    this.#expiriesMs.set(incarnation, [...known, ...added]);
  }

  /** Uses up the permit that expires first, if there is one. */
  take(incarnation: string, nowMs: number): void {
    const [, ...others] = this.#listValid(incarnation, nowMs);
    this.#replace(incarnation, others);
  }

  /** Removes permits that have expired. */
  prune(nowMs: number): void {
    [...this.#expiriesMs.keys()].forEach((incarnation) => this.#listValid(incarnation, nowMs));
  }

  #listValid(incarnation: string, nowMs: number): readonly number[] {
    const known = this.#expiriesMs.get(incarnation);
    if (!known) return [];
    const valid = known.filter((expiresAtMs) => expiresAtMs > nowMs);
    if (valid.length < known.length) this.#replace(incarnation, valid);
    return valid;
  }

  #replace(incarnation: string, expiriesMs: readonly number[]): void {
    if (expiriesMs.length > 0) this.#expiriesMs.set(incarnation, expiriesMs);
    else this.#expiriesMs.delete(incarnation);
  }
}
