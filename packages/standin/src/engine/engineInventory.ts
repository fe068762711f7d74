/** What an engine has been ordered to hold: models, adapters, a role, imported KV cache. */
export class EngineInventory {
  readonly models: Set<string>;

  readonly adapters = new Set<string>();

  /** Tokens of imported KV cache, by the attempt that is to use them. */
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

  /** Takes KV cache over for an attempt still to come, which then computes only the rest. */
  importKv(attemptId: string, tokens: number): void {
    this.#importedKv.set(attemptId, tokens);
  }

  /** Hands out the KV cache imported for an attempt; the second time there is none. */
  takeKv(attemptId: string): number {
    const tokens = this.#importedKv.get(attemptId) ?? 0;
    this.#importedKv.delete(attemptId);
    return tokens;
  }

  /** Loses the imported KV cache, as a restart does. */
  clearKv(): void {
    this.#importedKv.clear();
  }
}
