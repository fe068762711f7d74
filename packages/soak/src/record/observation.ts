/** What a soak sees from outside: at its callers, at its upstreams, and what it did itself. */

/** What may become of a request that is sent twice. */
export enum RequestKind {
  /** May run at several upstreams. */
  Repeatable = 'repeatable',
  /** May run once. */
  Once = 'once',
  /** A stream that may go on at another upstream after its last event. */
  ResumableStream = 'resumable-stream',
  /** A stream that runs once. */
  PlainStream = 'plain-stream',
}

export function isStream(kind: RequestKind): boolean {
  return kind === RequestKind.ResumableStream || kind === RequestKind.PlainStream;
}

export function isRepeatable(kind: RequestKind): boolean {
  return kind === RequestKind.Repeatable || kind === RequestKind.ResumableStream;
}

/** A request as its caller sent it. */
export interface SentRequest {
  readonly id: string;
  /** Entry to which the connection leads. */
  readonly entry: string;
  readonly kind: RequestKind;
  readonly pool: string;
  readonly path: string;
  readonly body: string;
  readonly workspace: string;
  /** Longest time of its route. */
  readonly timeoutMs: number;
  /** Upstreams to which its route allows it to be sent. */
  readonly attempts: number;
  readonly sentAtMs: number;
  /** Generation of the configuration that allows it; undefined where every one does. */
  readonly generation: number | undefined;
}

/** An answer, or its visible end. */
export interface ObservedResponse {
  readonly status: number;
  readonly body: string;
  /** Whether it came to an end by the protocol; a connection that breaks is no answer. */
  readonly isWhole: boolean;
  readonly seal: string | undefined;
  readonly detail: string;
  readonly endedAtMs: number;
}

/** A request that began to run at an upstream. */
export interface ObservedExecution {
  readonly id: string;
  readonly upstream: string;
  readonly pool: string;
  readonly domain: string;
  readonly path: string;
  readonly body: string;
  readonly workspace: string | undefined;
  readonly lastEventId: number;
  readonly atMs: number;
}

/** Kinds of change that operators or the platform make, each with a bound on its effect. */
export enum ChangeKind {
  DomainClosed = 'domain-closed',
  DomainOpened = 'domain-opened',
  UpstreamLeaving = 'upstream-leaving',
  UpstreamRegistered = 'upstream-entered',
  UpstreamCold = 'upstream-cold',
  UpstreamWarm = 'upstream-warm',
  /** A configuration whose generation allows other routes and keys. */
  ConfigGeneration = 'generation',
  StopRequested = 'stop-asked',
}

/** A change, from the moment at which the store has it. */
export interface Change {
  readonly kind: ChangeKind;
  /** Domain, upstream, entry or generation. */
  readonly subject: string;
  readonly atMs: number;
}
