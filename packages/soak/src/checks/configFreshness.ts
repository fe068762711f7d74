import { ChangeKind, type Change, type SeenAnswer, type SentRequest } from '../record/observation.js';

import { Check } from './check.js';

/** Statuses by which an entry says that its configuration knows no such route or key. */
const UNKNOWN_STATUSES = new Set([401, 403, 404]);

/** A configuration is in force soon after the store has it, and no older one after it. */
export class NewestConfig extends Check {
  override readonly promise = 'the newest configuration is in force';

  readonly #writtenAtMs = new Map<number, number>();

  /** Newest generation of which an entry has shown an effect. */
  readonly #seen = new Map<string, number>();

  #newest = 0;

  override noteChange({ kind, subject, atMs }: Change): void {
    if (kind !== ChangeKind.Generation) return;
    this.#newest = Number(subject);
    this.#writtenAtMs.set(this.#newest, atMs);
  }

  override noteAnswer(request: SentRequest, answer: SeenAnswer): void {
    const { generation, entry, sentAtMs } = request;
    const isKnown = answer.status === 200;
    const isUnknown = UNKNOWN_STATUSES.has(answer.status);
    if (isUnknown && generation === undefined) {
      const detail = `${entry} answers ${answer.status} to request ${request.id}`;
      this.report(`${detail}, which every configuration allows`, answer.endedAtMs);
    }
    if (generation === undefined || !(isKnown || isUnknown)) return;
    if (isKnown && generation < this.#newest) this.#judgeOld(request, generation + 1, answer);
    if (isUnknown && generation === this.#newest) this.#judgeOld(request, generation, answer);
    if (isKnown) this.#noteSeen(entry, generation, sentAtMs);
  }

  /** The request was handled as only a configuration before a generation allows. */
  #judgeOld(request: SentRequest, generation: number, answer: SeenAnswer): void {
    const { entry, sentAtMs, id } = request;
    const writtenAtMs = this.#writtenAtMs.get(generation) ?? sentAtMs;
    const ageMs = sentAtMs - writtenAtMs;
    if (ageMs <= this.context.bounds.configMs) return;
    if (!this.context.touch.isCalm(entry, writtenAtMs, sentAtMs)) return;
    if (!this.context.touch.isInTouch(entry, sentAtMs)) return;
    const age = `${Math.round(ageMs)} ms after generation ${generation}`;
    this.report(`${entry} answers ${answer.status} to request ${id}, ${age}`, answer.endedAtMs);
  }

  #noteSeen(entry: string, generation: number, sentAtMs: number): void {
    const seen = this.#seen.get(entry) ?? 0;
    if (generation > seen) this.#seen.set(entry, generation);
    const writtenAtMs = this.#writtenAtMs.get(seen) ?? sentAtMs;
    const isBack = generation < seen && sentAtMs > writtenAtMs + this.context.bounds.configMs;
    if (isBack && this.context.touch.isCalm(entry, writtenAtMs, sentAtMs)) {
      this.report(`${entry} goes back from generation ${seen} to ${generation}`, sentAtMs);
    }
  }
}
