/**
 * The claim of one request that came with a key and may run only once, and the copy of its answer.
 */
import type { ClassifiedRequest } from '../entry/requestClassifier.js';
import type { AttemptTarget } from '../entry/submission.js';
import type { Caller } from '../ports/caller.js';

import { AnswerRecorder } from './answerRecorder.js';
import type { ClaimKeeper } from './claimKeeper.js';
import { formatClaimKey, hashRequest } from './claimRecord.js';
import { ClaimSession, type ClaimStep } from './claimSession.js';

/** Whether a request has to claim its key before it is sent. */
export function needsClaim({ request, requestClass }: ClassifiedRequest): boolean {
  return !requestClass.isRepeatable && request.idempotencyKey !== undefined;
}

/** Claims a request's key and keeps its answer. */
export class RequestClaim {
  /** Stands in front of the caller and records what it is given. */
  readonly recorder: AnswerRecorder;

  readonly #session: ClaimSession;

  readonly #requestHash: string;

  readonly #entry: string;

  /** @param entry name of this entry */
  constructor(store: ClaimKeeper, classified: ClassifiedRequest, caller: Caller, entry: string) {
    const { request, workspace } = classified;
    const key = formatClaimKey(workspace.name, request.idempotencyKey ?? '');
    this.recorder = new AnswerRecorder(caller);
    this.#session = new ClaimSession(store, key);
    this.#requestHash = hashRequest(request);
    this.#entry = entry;
  }

  /** Claims the key for an attempt that is about to be sent. */
  secure(target: AttemptTarget): Promise<ClaimStep> {
    return this.#session.acquire({
      ...target,
      requestHash: this.#requestHash,
      entry: this.#entry,
      claimedAtMs: Date.now(),
    });
  }

  /** Keeps the answer, which is whole now. */
  finish(): void {
    this.#session.finish(this.recorder.answer);
  }

  /** Gives the claim up; only where no attempt under it has run or can run. */
  release(): void {
    this.#session.release();
  }
}
