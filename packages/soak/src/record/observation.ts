/** Events that a soak observes at its callers and upstreams, or causes itself. */

/** How often a request may run. */
export enum RequestKind {
  /** May run several times, also at different upstreams. */
  Repeatable = 'repeatable',
  /** May run at most once. */
  Once = 'once',
  /** A stream that another upstream may resume after the last event. */
  ResumableStream = 'resumable-stream',
  /** A stream that may run at most once. */
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
  /** Entry to which the caller is connected. */
  readonly entry: string;
  readonly kind: RequestKind;
  readonly pool: string;
  readonly path: string;
  readonly body: string;
  readonly workspace: string;
  /** Timeout of its route. */
  readonly timeoutMs: number;
  /** Number of upstreams to which its route allows it to be sent. */
  readonly attempts: number;
  readonly sentAtMs: number;
  /** Generation of the configuration that allows it; undefined if every generation does. */
  readonly generation: number | undefined;
}

/** A response, or the error that ended the request. */
export interface ObservedResponse {
  /** HTTP status; 0 if the connection failed before a response. */
  readonly status: number;
  readonly body: string;
  /** Whether the response ended as HTTP defines; false if the connection broke. */
  readonly isWhole: boolean;
  readonly seal: string | undefined;
  /** Outcome for reports: whether the response is complete, or the error code. */
  readonly detail: string;
  readonly endedAtMs: number;
}

/** The start of a request at an upstream. */
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

/** Changes made by operators or the platform whose effects the checks follow. */
export enum ChangeKind {
  DomainClosed = 'domain-closed',
  DomainOpened = 'domain-opened',
  UpstreamLeaving = 'upstream-leaving',
  UpstreamRegistered = 'upstream-entered',
  UpstreamCold = 'upstream-cold',
  UpstreamWarm = 'upstream-warm',
  UpstreamLimited = 'upstream-limited',
  UpstreamUnlimited = 'upstream-unlimited',
  /** A new configuration; each generation allows other routes and keys. */
  ConfigGeneration = 'generation',
  StopRequested = 'stop-asked',
}

/** A change, timed from when it took effect in the store. */
export interface Change {
  readonly kind: ChangeKind;
  /** Name of the domain, upstream or entry, or number of the generation. */
  readonly subject: string;
  readonly atMs: number;
  /** Requests per second that a limited upstream takes. */
  readonly limitPerS?: number;
}
