import {
  ChangeKind,
  type Change,
  type SeenAnswer,
  type SeenRun,
  type SentRequest,
} from '../record/observation.js';

import { Check } from './check.js';

/** Part of a planned stop's time in which the work that it began with has to be over. */
const WORK_PART = 5 / 6;

/** Time after the signal in which an entry still takes requests, as the balancer sends them. */
const TAKING_MS = 3_000;

/** Time from sending after which a request counts as read, whether or not it was passed on. */
const LOSS_SLACK_MS = 200;

/** A planned stop cuts nothing that its entry has taken. */
export class PlannedStop extends Check {
  override readonly promise = 'planned stops cut nothing';

  readonly #stops = new Map<string, number>();

  readonly #ranAt = new Map<string, string>();

  override noteChange({ kind, subject, atMs }: Change): void {
    if (kind === ChangeKind.StopAsked) this.#stops.set(subject, atMs);
  }

  override noteRun({ id, upstream }: SeenRun): void {
    this.#ranAt.set(id, upstream);
  }

  override noteAnswer(request: SentRequest, answer: SeenAnswer): void {
    const { entry, id, sentAtMs } = request;
    const stoppedAtMs = this.#stops.get(entry);
    const ranAt = this.#ranAt.get(id);
    this.#ranAt.delete(id);
    if (stoppedAtMs === undefined || answer.isWhole || answer.endedAtMs < stoppedAtMs) return;
    if (sentAtMs > stoppedAtMs + TAKING_MS) return;
    if (!ranAt && answer.endedAtMs - sentAtMs < LOSS_SLACK_MS) return;
    const intoStopMs = answer.endedAtMs - stoppedAtMs;
    if (intoStopMs > this.context.bounds.stopLimitMs * WORK_PART) return;
    if (!this.#isCalm(request, answer, ranAt)) return;
    const detail = `${answer.detail}, ${Math.round(intoStopMs)} ms into its stop`;
    this.report(`request ${id} at ${entry} ends with ${detail}`, answer.endedAtMs);
  }

  /** Whether neither the entry nor the upstream had a fault that could have cut the request. */
  #isCalm(request: SentRequest, { endedAtMs }: SeenAnswer, ranAt: string | undefined): boolean {
    const { touch } = this.context;
    const { entry, sentAtMs } = request;
    const isEntryCalm =
      touch.isInTouch(entry, sentAtMs) && touch.isCalm(entry, sentAtMs, endedAtMs);
    if (!isEntryCalm) return false;
    return ranAt === undefined || touch.isCalm(ranAt, sentAtMs, endedAtMs);
  }
}
