/** Deduplicates a request that carries an idempotency key and must run at most once. */
import type { ClassifiedRequest } from '../entry/requestClassifier.js';
import type { AttemptTarget } from '../entry/submission.js';
import type { Caller } from '../ports/caller.js';

import { AnswerRecorder } from './answerRecorder.js';
import type { ClaimStore } from './claimStore.js';
import { formatClaimKey, hashRequest } from './claimRecord.js';
import { ClaimSession, type ClaimStep } from './claimSession.js';

/** Whether a request must claim its idempotency key before it is sent. */
export function isClaimRequired({ request, requestClass }: ClassifiedRequest): boolean {
  return !requestClass.isRepeatable && request.idempotencyKey !== undefined;
}

/** Claims a request's idempotency key and records its answer. */
export class RequestClaim {
  /** Wraps the caller and records the answer. */
  readonly recorder: AnswerRecorder;

  readonly #session: ClaimSession;

  readonly #requestHash: string;

  readonly #entry: string;

  /** @param entry name of this entry */
  constructor(store: ClaimStore, classified: ClassifiedRequest, caller: Caller, entry: string) {
    const { request, workspace } = classified;
    const key = formatClaimKey(workspace.name, request.idempotencyKey ?? '');
    this.recorder = new AnswerRecorder(caller);
    this.#session = new ClaimSession(store, key);
    this.#requestHash = hashRequest(request);
    this.#entry = entry;
  }

  /** Claims the key for an attempt that is about to be sent. */
  acquire(target: AttemptTarget): Promise<ClaimStep> {
    return this.#session.acquire({
      ...target,
      requestHash: this.#requestHash,
      entry: this.#entry,
      claimedAtMs: Date.now(),
    });
  }

  /** Stores the recorded answer, which is complete, with the claim. */
  finish(): void {
    this.#session.finish(this.recorder.answer);
  }

  /** Removes the claim. Call this only if no attempt under it has run or can still run. */
  release(): void {
    this.#session.release();
  }
}
