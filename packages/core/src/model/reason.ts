/**
 * Reasons of refusals and retries, and what became of a request.
 *
 * Each member of {@link RefusalReason} and {@link RetryReason} has a counter of its own.
 */

/** What became of a request or of one attempt at it. */
export enum Outcome {
  /** The whole answer has been delivered. */
  Answered = 'answered',
  /** Proved: no byte of the request reached an upstream. */
  NotRun = 'not-run',
  /** The request may have run. */
  Unknown = 'unknown',
}

/** Why a request got no answer of an upstream. */
export enum RefusalReason {
  MalformedRequest = 'malformed-request',
  BodyTooLarge = 'body-too-large',
  HeadersTooLarge = 'headers-too-large',
  RequestTooSlow = 'request-too-slow',
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
  PoolStalled = 'pool-stalled',
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

/** Why an attempt was followed by another one. */
export enum RetryReason {
  RefusedBySide = 'refused-by-side',
  LinkLostNotRun = 'link-lost-not-run',
  LinkLostRepeatable = 'link-lost-repeatable',
  UpstreamFailed = 'upstream-failed',
  ProgressTimeout = 'progress-timeout',
  StreamResumed = 'stream-resumed',
  DomainDrained = 'domain-drained',
  UpstreamRefused = 'upstream-refused',
  UpstreamUnreachable = 'upstream-unreachable',
}

/** A refusal with what the caller may rely on. */
export interface Refusal {
  readonly reason: RefusalReason;
  readonly outcome: Outcome.NotRun | Outcome.Unknown;
  /** When to come back; 0 where coming back does not help. */
  readonly retryAfterMs: number;
  /** One sentence for people. */
  readonly detail: string;
}
