import {
  ChangeKind,
  type Change,
  type ObservedResponse,
  type SentRequest,
} from '../record/observation.js';

import { Check } from './check.js';

/** Response statuses for a route or key that is not in the configuration of the entry. */
const UNKNOWN_ROUTE_OR_KEY_STATUSES = new Set([401, 403, 404]);

/**
 * Checks that entries apply a configuration soon after it is written to the store, and do not
 * return to an older one.
 */
export class ConfigFreshness extends Check {
  override readonly invariant = 'the newest configuration is in force';

  readonly #writtenAtMs = new Map<number, number>();

  /** By entry: newest configuration generation that one of its responses reflects. */
  readonly #observedGenerations = new Map<string, number>();

  #newest = 0;

  override onChange({ kind, subject, atMs }: Change): void {
    if (kind !== ChangeKind.ConfigGeneration) return;
    this.#newest = Number(subject);
    this.#writtenAtMs.set(this.#newest, atMs);
  }

  override onResponse(request: SentRequest, response: ObservedResponse): void {
    const { generation, entry, sentAtMs } = request;
    const isKnown = response.status === 200;
    const isUnknown = UNKNOWN_ROUTE_OR_KEY_STATUSES.has(response.status);
    if (isUnknown && generation === undefined) {
      const detail = `${entry} responds ${response.status} to request ${request.id}`;
      this.report(`${detail}, which every configuration allows`, response.endedAtMs);
    }
    if (generation === undefined || !(isKnown || isUnknown)) return;
    if (isKnown && generation < this.#newest) this.#checkStale(request, generation + 1, response);
    if (isUnknown && generation === this.#newest) this.#checkStale(request, generation, response);
    if (isKnown) this.#recordObservedGeneration(entry, generation, sentAtMs);
  }

  /** Reports a response that reflects a configuration older than the given generation. */
  #checkStale(request: SentRequest, generation: number, response: ObservedResponse): void {
    const { entry, sentAtMs, id } = request;
    const writtenAtMs = this.#writtenAtMs.get(generation) ?? sentAtMs;
    const ageMs = sentAtMs - writtenAtMs;
    if (ageMs <= this.context.bounds.configMs) return;
    if (!this.context.timeline.isFaultFree(entry, writtenAtMs, sentAtMs)) return;
    if (!this.context.timeline.isStable(entry, sentAtMs)) return;
    const age = `${Math.round(ageMs)} ms after generation ${generation}`;
    this.report(
      `${entry} responds ${response.status} to request ${id}, ${age}`,
      response.endedAtMs,
    );
  }

  #recordObservedGeneration(entry: string, generation: number, sentAtMs: number): void {
    const newestObserved = this.#observedGenerations.get(entry) ?? 0;
    if (generation > newestObserved) this.#observedGenerations.set(entry, generation);
    const writtenAtMs = this.#writtenAtMs.get(newestObserved) ?? sentAtMs;
    const isRegression =
      generation < newestObserved && sentAtMs > writtenAtMs + this.context.bounds.configMs;
    if (isRegression && this.context.timeline.isFaultFree(entry, writtenAtMs, sentAtMs)) {
      this.report(
        `${entry} goes back from generation ${newestObserved} to ${generation}`,
        sentAtMs,
      );
    }
  }
}
