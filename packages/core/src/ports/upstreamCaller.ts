/** Interface for the calls that an entry makes to upstreams directly. */
import type { HeaderMap } from '../model/request.js';
import type { UpstreamEntry, UpstreamLoad } from '../direct/directUpstream.js';
import type { NamedLimit } from '../model/namedLimit.js';
import type { RequestSize } from '../model/requestSize.js';

import type { AnswerFraming } from './caller.js';
import type { RequestBody } from './requestBody.js';

/** A caller's request that is forwarded unchanged. */
export interface ForwardedRequest {
  /** Id given by the caller; the upstream echoes it in its answer. */
  readonly id: string;
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  readonly host: string;
  /** End-to-end headers, without those that the entry sets itself. */
  readonly headers: HeaderMap;
  readonly body: RequestBody;
  /**
   * Ids of the parts of the prompt that other requests can have in common with this one, in order;
   * empty where the caller names none.
   */
  readonly sharedPromptParts: readonly string[];
  /** Id of the event after which the caller resumes a stream; undefined where it resumes none. */
  readonly resumeAfterId?: string | undefined;
  /** Declared size; undefined where the caller declares none. */
  readonly size?: RequestSize | undefined;
  /** Caller's deadline, from arrival; undefined if the caller gave none. */
  readonly deadlineMs: number | undefined;
  /** Secret key of the workspace; never logged. */
  readonly workspaceKey: string;
  /** Time of arrival by the monotonic clock. */
  readonly arrivedAtMs: number;
}

/** Which connections to its upstream a request may use. */
export enum ConnectionChoice {
  Any = 'any',
  /** One that was used lately or is new, as an idle one may have been closed by the upstream. */
  Recent = 'recent',
  /** One on which no response can be left over from an earlier request. */
  New = 'new',
}

/** One request to one upstream. */
export interface UpstreamCall {
  readonly request: ForwardedRequest;
  readonly upstream: UpstreamEntry;
  readonly workspace: string | undefined;
  /** Time left until the caller's deadline; undefined if the caller gave none. */
  readonly remainingMs: number | undefined;
  /** Id of the last event that the caller received, if a stream is resumed. */
  readonly resumeAfterId: string | undefined;
  readonly connection: ConnectionChoice;
}

/** Status and headers of an answer, with what the upstream states in them. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: HeaderMap;
  /** Whether the answer belongs to this request. */
  readonly isForThisRequest: boolean;
  /** Whether the upstream states that the request was not executed and never will be. */
  readonly isNotRun: boolean;
  /** Whether the address now belongs to another upstream. */
  readonly isMisdirected: boolean;
  /** Whether the answer comes from the upstream itself and was not modified on the way. */
  readonly isGenuine: boolean;
  readonly framing: AnswerFraming;
  /** Whether the upstream is shutting down and accepts no new work. */
  readonly isLeaving: boolean;
  /** Time for which the upstream accepts nothing more from this entry; undefined if not stated. */
  readonly backoffMs: number | undefined;
  readonly load: UpstreamLoad | undefined;
  /** Requests per second that the upstream takes from all entries together. */
  readonly requestLimit: NamedLimit;
}

export enum CallFailureKind {
  /** No byte of the request was sent. */
  NotSent = 'not-sent',
  /** The connection broke or the answer was incomplete; the request may have run. */
  Lost = 'lost',
  /** The answer did not end; the connection was closed, and the request may have run. */
  Endless = 'endless',
}

/** Events of one call, in order; the last event is `onEnd`, `onFailure` or `onFault`. */
export interface CallEvents {
  readonly onHead: (head: AnswerHead) => void;
  readonly onData: (data: Buffer) => void;
  /** The answer is complete. */
  readonly onEnd: () => void;
  readonly onFailure: (kind: CallFailureKind, detail: string) => void;
  /**
   * An exception was thrown while the answer was handled, also by one of the other listeners, whose
   * event may have been the last one. The connection is closed.
   */
  readonly onFault: (error: Error) => void;
}

/** A call in progress. */
export interface CallInProgress {
  /** Cancels the call and closes its connection; no further events follow. */
  readonly cancel: () => void;
  readonly pause: () => void;
  readonly resume: () => void;
}

/** Sends requests to upstreams. */
export abstract class UpstreamCaller {
  /** Starts a call; its result is reported by `events`. */
  abstract call(call: UpstreamCall, events: CallEvents): CallInProgress;

  /**
   * Checks whether an upstream refuses new connections, as a crashed one does.
   *
   * @returns resolves to false where it accepts one, or where that is not known in time
   */
  abstract isRefusingConnections(upstream: UpstreamEntry): Promise<boolean>;
}
