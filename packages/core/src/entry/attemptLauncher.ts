/**
 * Starts attempts on the links to side processes and removes them when they have ended.
 *
 * Whether the target may be given new work is checked immediately before the submission is sent,
 * since it may have changed after the target was chosen.
 */
import { RefusalReason, RetryReason, type Refusal } from '../model/reason.js';
import { Err, Ok, type Result } from '../outcome.js';
import type { RoutingQuery } from '../routing/routingPolicy.js';
import { countEnded, countSent } from '../routing/upstreamState.js';

import type { AnswerRelay } from './answerRelay.js';
import { Attempt, type AttemptEnd } from './attempt.js';
import { refuseUnknown } from './refusal.js';
import type { ClassifiedRequest } from './requestClassifier.js';
import type { RequestContext } from './requestContext.js';
import { createSubmit, checkTarget, readRetryShare, type AttemptTarget } from './submission.js';

/** Retry-after hint for requests whose idempotency key is in use. */
const KEY_IN_USE_RETRY_AFTER_MS = 1_000;

/** Callbacks for the attempts of a request. `onStart` is called before anything is sent. */
export interface AttemptEvents {
  readonly onStart: (attempt: Attempt) => void;
  readonly onEnd: (end: AttemptEnd) => void;
  readonly onFault: (error: Error) => void;
}

/** Starts and removes the attempts of one request. */
export class AttemptLauncher {
  readonly #context: RequestContext;

  readonly #classified: ClassifiedRequest;

  readonly #relay: AnswerRelay;

  readonly #events: AttemptEvents;

  constructor(
    context: RequestContext,
    classified: ClassifiedRequest,
    relay: AnswerRelay,
    events: AttemptEvents,
  ) {
    this.#context = context;
    this.#classified = classified;
    this.#relay = relay;
    this.#events = events;
  }

  /**
   * Submits the request to a target as a new attempt.
   *
   * @returns nothing if it was sent, else the reason why not
   */
  submit(target: AttemptTarget, query: RoutingQuery): Result<void, Refusal> {
    const { board, routing } = this.#context;
    const nowMs = Date.now();
    const checked = checkTarget(board, this.#classified, target, nowMs);
    if (!checked.ok) return Err(checked.val);

    const { upstream, link } = checked.val;
    const attempt = this.#register(target);
    routing.markSent(board, target.upstream, query);
    const { creditBytes } = this.#relay;
    link.send(createSubmit(board, this.#classified, target, upstream, creditBytes, nowMs));
    attempt.watchProgress();
    return Ok(undefined);
  }

  /**
   * Takes over an attempt that an earlier request with the same idempotency key has started.
   *
   * @returns nothing if it was taken over, else the reason why not
   */
  adopt(target: AttemptTarget): Result<void, Refusal> {
    const { board, attempts } = this.#context;
    if (attempts.has(target.attemptId) || !board.upstreams.has(target.upstream)) {
      const detail = 'an earlier request with this key is in flight';
      return Err(refuseUnknown(RefusalReason.KeyInUse, KEY_IN_USE_RETRY_AFTER_MS, detail));
    }
    const attempt = this.#register(target);
    attempt.handleLinkLost();
    if (board.upstreams.get(target.upstream)?.link?.isOpen) attempt.handleLinkOpen();
    return Ok(undefined);
  }

  /** Removes an attempt from all bookkeeping, regardless of its outcome. */
  forget(attempt: Attempt): void {
    const { board, routing, attempts } = this.#context;
    attempts.delete(attempt.id);
    countEnded(board, attempt.upstream);
    routing.markEnded(board, attempt.upstream);
  }

  #register(target: AttemptTarget): Attempt {
    const { board, timing, metrics, attempts, retries } = this.#context;
    const { requestClass } = this.#classified;
    const attempt = new Attempt({
      id: target.attemptId,
      upstream: target.upstream,
      domain: board.upstreams.get(target.upstream)?.domain ?? '',
      sideIncarnation: target.sideIncarnation,
      sideTickMs: target.sideTickMs,
      isRepeatable: requestClass.isRepeatable,
      progressTimeoutMs: requestClass.progressTimeoutMs,
      inquiryLimitMs: timing.inquiryLimitMs,
      reconnectGraceMs: timing.heartbeatMs,
      relay: this.#relay,
      send: (message) => board.upstreams.get(target.upstream)?.link?.send(message),
      canRetry: () => retries.canRetryFailure(readRetryShare(board), Date.now()),
      isRemembered: () => this.#isRemembered(target),
      onResume: () => metrics.count('request.retried', { reason: RetryReason.StreamResumed }),
      onEnd: this.#events.onEnd,
      onFault: this.#events.onFault,
    });
    attempts.set(attempt.id, attempt);
    countSent(board, target.upstream);
    this.#events.onStart(attempt);
    return attempt;
  }

  /**
   * Whether the side process must still have its record of the attempt.
   *
   * The age is measured on the side process's own clock. The last tick received may lag behind by
   * up to `silenceLimitMs`, the longest time for which an open link may be silent.
   */
  #isRemembered(target: AttemptTarget): boolean {
    const { board, timing } = this.#context;
    const tickMs = board.upstreams.get(target.upstream)?.tickMs ?? Number.POSITIVE_INFINITY;
    const ageMs = tickMs + timing.silenceLimitMs - target.sideTickMs;
    return ageMs < timing.attemptKeptMs;
  }
}
