/**
 * Starts attempts on the links to side processes, and forgets them when they are over.
 *
 * The checks that guard new work are made right before a submission is handed to the link.
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
import { createSubmit, checkTarget, type AttemptTarget } from './submission.js';

/** Time after which a request whose key is in use is asked to come back. */
const KEY_IN_USE_RETRY_AFTER_MS = 1_000;

/** What a request hears of its attempts; `onStart` comes before anything is sent. */
export interface AttemptEvents {
  readonly onStart: (attempt: Attempt) => void;
  readonly onEnd: (end: AttemptEnd) => void;
}

/** Starts and forgets the attempts of one request. */
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
   * Submits the request to a target.
   *
   * @returns nothing where it was sent, else why it was not
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
   * Follows an attempt that an earlier request with the same key has made.
   *
   * @returns nothing where it is followed, else why it cannot be
   */
  adopt(target: AttemptTarget): Result<void, Refusal> {
    const { board, attempts } = this.#context;
    if (attempts.has(target.attemptId) || !board.upstreams.has(target.upstream)) {
      const detail = 'an earlier request with this key is under way';
      return Err(refuseUnknown(RefusalReason.KeyInUse, KEY_IN_USE_RETRY_AFTER_MS, detail));
    }
    const attempt = this.#register(target);
    attempt.handleLinkLost();
    if (board.upstreams.get(target.upstream)?.link?.isOpen) attempt.handleLinkOpen();
    return Ok(undefined);
  }

  /** Forgets an attempt, whatever became of it. */
  forget(attempt: Attempt): void {
    const { board, routing, attempts } = this.#context;
    attempts.delete(attempt.id);
    countEnded(board, attempt.upstream);
    routing.markEnded(board, attempt.upstream);
  }

  #register(target: AttemptTarget): Attempt {
    const { board, timing, metrics, attempts } = this.#context;
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
      isRemembered: () => this.#isRemembered(target),
      onResume: () => metrics.count('request.retried', { reason: RetryReason.StreamResumed }),
      onEnd: this.#events.onEnd,
    });
    attempts.set(attempt.id, attempt);
    countSent(board, target.upstream);
    this.#events.onStart(attempt);
    return attempt;
  }

  /**
   * Whether the side process cannot have forgotten the attempt yet; all by its own clock, of which
   * the last reading may be as old as the silence that a link is allowed.
   */
  #isRemembered(target: AttemptTarget): boolean {
    const { board, timing } = this.#context;
    const tickMs = board.upstreams.get(target.upstream)?.tickMs ?? Number.POSITIVE_INFINITY;
    const ageMs = tickMs + timing.silenceLimitMs - target.sideTickMs;
    return ageMs < timing.attemptKeptMs;
  }
}
