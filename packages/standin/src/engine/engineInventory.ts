/** State of an engine that orders set: models, adapters, role and imported KV cache. */
export class EngineInventory {
  readonly models: Set<string>;

  readonly adapters = new Set<string>();

  /** Number of imported KV cache tokens, by the ID of the attempt that will use them. */
  readonly #importedKv = new Map<string, number>();

  #role = 'both';

  constructor(models: readonly string[]) {
    this.models = new Set(models);
  }

  get role(): string {
    return this.#role;
  }

  changeRole(role: string): void {
    this.#role = role;
  }

  /** Imports KV cache for a future attempt, which then prefills only the remaining tokens. */
  importKv(attemptId: string, tokens: number): void {
    this.#importedKv.set(attemptId, tokens);
  }

  /** Removes the KV cache imported for an attempt and returns its number of tokens, or 0. */
  takeKv(attemptId: string): number {
    const tokens = this.#importedKv.get(attemptId) ?? 0;
    this.#importedKv.delete(attemptId);
    return tokens;
  }

  /** Discards all imported KV cache, as on a restart. */
  clearKv(): void {
    this.#importedKv.clear();
  }
}
