/**
 * Reasons of refusals and retries, and outcomes of requests.
 *
 * Each member of {@link RefusalReason} and {@link RetryReason} has its own counter in the metrics.
 */

/** Outcome of a request or of one of its attempts. */
export enum Outcome {
  /** The complete answer was delivered. */
  Answered = 'answered',
  /** It is certain that no byte of the request reached an upstream. */
  NotRun = 'not-run',
  /** The request may have run. */
  Unknown = 'unknown',
}

/** Why a request was not answered by an upstream. */
export enum RefusalReason {
  MalformedRequest = 'malformed-request',
  BodyTooLarge = 'body-too-large',
  HeadersTooLarge = 'headers-too-large',
  RequestTooSlow = 'request-too-slow',
  /** The entry has no memory left for it. */
  MemoryShort = 'memory-short',
  /** The caller does not read its answer. */
  AnswerUnread = 'answer-unread',
  BadDeadline = 'bad-deadline',
  UnknownWorkspace = 'unknown-workspace',
  UnknownClass = 'unknown-class',
  UnknownPool = 'unknown-pool',
  UnknownRoute = 'unknown-route',
  NoConfiguration = 'no-configuration',
  Unauthorized = 'unauthorized',
  WorkspaceLimit = 'workspace-limit',
  QueueFull = 'queue-full',
  DeadlineUnreachable = 'deadline-unreachable',
  DeadlinePassed = 'deadline-passed',
  NoUpstream = 'no-upstream',
  DomainDrained = 'domain-drained',
  UpstreamLeaving = 'upstream-leaving',
  UpstreamFull = 'upstream-full',
  UpstreamCold = 'upstream-cold',
  UpstreamFailed = 'upstream-failed',
  UpstreamSilent = 'upstream-silent',
  /** A stream ended with its connection, and no other attempt showed whether it was complete. */
  EndUnconfirmed = 'end-unconfirmed',
  PoolStalled = 'pool-stalled',
  /** A part of its prompt probably crashes upstreams. */
  PromptQuarantined = 'prompt-quarantined',
  StaleIncarnation = 'stale-incarnation',
  StaleSubmission = 'stale-submission',
  StaleConfiguration = 'stale-configuration',
  AttemptDead = 'attempt-dead',
  DuplicateAttempt = 'duplicate-attempt',
  KeyInUse = 'key-in-use',
  KeyReused = 'key-reused',
  PlatformUnavailable = 'platform-unavailable',
  ShuttingDown = 'shutting-down',
  LinkLost = 'link-lost',
  RetryBudgetSpent = 'retry-budget-spent',
  CallerGone = 'caller-gone',
  OutcomeUnknown = 'outcome-unknown',
}

/** Why a request was retried with another attempt. */
export enum RetryReason {
  RefusedBySide = 'refused-by-side',
  LinkLostNotRun = 'link-lost-not-run',
  LinkLostRepeatable = 'link-lost-repeatable',
  UpstreamFailed = 'upstream-failed',
  ProgressTimeout = 'progress-timeout',
  StreamResumed = 'stream-resumed',
  EndUnconfirmed = 'end-unconfirmed',
  DomainDrained = 'domain-drained',
  UpstreamRefused = 'upstream-refused',
  UpstreamUnreachable = 'upstream-unreachable',
}

/** A refusal, and what the caller can rely on. */
export interface Refusal {
  readonly reason: RefusalReason;
  readonly outcome: Outcome.NotRun | Outcome.Unknown;
  /** Time after which to retry; 0 if a retry does not help. */
  readonly retryAfterMs: number;
  /** Explanation for humans, one sentence. */
  readonly detail: string;
}
