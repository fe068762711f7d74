/** Calls of upstreams that an entry makes itself, as decisions see them. */
import type { HeaderMap } from '../model/request.js';
import type { UpstreamEntry, UpstreamLoad } from '../direct/directUpstream.js';

import type { AnswerFraming } from './caller.js';
import type { RequestBody } from './requestBody.js';

/** A caller's request that is forwarded as it is. */
export interface ForwardedRequest {
  /** The caller's id of it; the upstream names it in its answer. */
  readonly id: string;
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  readonly host: string;
  /** Headers that travel end to end, without those that an entry sets itself. */
  readonly headers: HeaderMap;
  readonly body: RequestBody;
  /** How long the caller waits, from arrival; undefined where it does not say. */
  readonly deadlineMs: number | undefined;
  /** Value of the workspace's key; never logged. */
  readonly workspaceKey: string;
  /** Time of arrival by the steady clock. */
  readonly arrivedAtMs: number;
}

/** One request to one upstream. */
export interface UpstreamCall {
  readonly request: ForwardedRequest;
  readonly upstream: UpstreamEntry;
  readonly workspace: string | undefined;
  /** What is left of the caller's time; undefined where the caller named none. */
  readonly remainingMs: number | undefined;
  /** Id of the last event that the caller has, where a stream goes on. */
  readonly resumeAfterId: string | undefined;
  /** Whether the request must not go out on a connection that may have gone stale. */
  readonly isFreshNeeded: boolean;
}

/** What the head of an answer says. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: HeaderMap;
  /** Whether it answers this very request. */
  readonly isOwn: boolean;
  /** Whether the upstream says that the request has not run and never will. */
  readonly isNotRun: boolean;
  /** Whether another upstream has the address now. */
  readonly isMisdirected: boolean;
  /** Whether it is the upstream's own answer, unaltered on its way. */
  readonly isGenuine: boolean;
  readonly framing: AnswerFraming;
  /** Whether the upstream is about to end and wants no new work. */
  readonly isLeaving: boolean;
  /** Time for which the upstream wants nothing more of this entry; undefined where it says none. */
  readonly restMs: number | undefined;
  readonly load: UpstreamLoad | undefined;
}

export enum CallFailureKind {
  /** No byte of the request was sent. */
  NotSent = 'not-sent',
  /** The connection broke, or what came was no whole answer; the request may have run. */
  Lost = 'lost',
  /** What came had no end; the connection is closed, and the request may have run. */
  Endless = 'endless',
}

/** What a call hears, in order; exactly one of `onEnd` and `onFailure` comes last. */
export interface CallEvents {
  readonly onHead: (head: AnswerHead) => void;
  readonly onData: (data: Buffer) => void;
  /** The answer is whole. */
  readonly onEnd: () => void;
  readonly onFailure: (kind: CallFailureKind, detail: string) => void;
}

/** A call in progress. */
export interface CallInProgress {
  /** Ends the call and its connection; its events are silent from now on. */
  readonly cancel: () => void;
  readonly pause: () => void;
  readonly resume: () => void;
}

/** Calls upstreams. */
export abstract class UpstreamCaller {
  abstract call(call: UpstreamCall, events: CallEvents): CallInProgress;
}
