/** Builds the message that submits a request, and checks its target right before it is sent. */
import { ConfigKind, SettingName } from '../config/object.js';
import { MessageType, type MessageOf } from '../messages/message.js';
import { RefusalReason, type Refusal } from '../model/reason.js';
import { Err, Ok, type Result } from '../outcome.js';
import type { RetryHistory } from '../retry/retryHistory.js';
import type { RoutingQuery } from '../routing/routingPolicy.js';
import { findClosedReason } from '../routing/upstreamState.js';
import type { Link } from '../ports/link.js';
import type { EntryBoard, UpstreamState } from '../state/entryBoard.js';

import { refuseNotRun } from './refusal.js';
import type { ClassifiedRequest } from './requestClassifier.js';

/** Share of the requests that may be retried if no setting overrides it. */
const DEFAULT_RETRY_SHARE = 0.1;

/** Retry-after hint while the configuration of this entry is not confirmed. */
const STALE_CONFIGURATION_RETRY_AFTER_MS = 1_000;

/** Retry-after hint after the chosen upstream has stopped accepting work. */
const UPSTREAM_CLOSED_RETRY_AFTER_MS = 500;

/** Upstream, side process and id of an attempt that is about to be made. */
export interface AttemptTarget {
  readonly upstream: string;
  readonly sideIncarnation: string;
  readonly attemptId: string;
  /** Last known clock of the side process, in ms, when the target was chosen. */
  readonly sideTickMs: number;
}

/** A target that passed all checks, and the link to send on. */
export interface CheckedTarget {
  readonly upstream: UpstreamState;
  readonly link: Link;
}

/** Reads the share of the requests that may be retried. */
export function readRetryShare(board: EntryBoard): number {
  const value = board.config.get(ConfigKind.Setting, SettingName.RetryShare)?.value;
  return typeof value === 'number' ? value : DEFAULT_RETRY_SHARE;
}

/**
 * Checks whether an attempt may be sent to a target now.
 *
 * @param nowMs time by the runtime's clock, read right before sending
 * @returns the upstream and the link to send on, or the reason why nothing may be sent
 */
export function checkTarget(
  board: EntryBoard,
  classified: ClassifiedRequest,
  target: AttemptTarget,
  nowMs: number,
): Result<CheckedTarget, Refusal> {
  if (nowMs >= classified.deadlineAtMs) {
    return Err(refuseNotRun(RefusalReason.DeadlinePassed, 0, 'the deadline has passed'));
  }
  if (!board.isCurrent) {
    const detail = 'this entry has not been able to confirm its configuration in time';
    return Err(
      refuseNotRun(RefusalReason.StaleConfiguration, STALE_CONFIGURATION_RETRY_AFTER_MS, detail),
    );
  }
  const upstream = board.upstreams.get(target.upstream);
  const reason = upstream && findClosedReason(board, upstream);
  if (!upstream?.link || reason) {
    const detail = `upstream ${target.upstream} accepts no new work`;
    return Err(
      refuseNotRun(reason ?? RefusalReason.NoUpstream, UPSTREAM_CLOSED_RETRY_AFTER_MS, detail),
    );
  }
  if (upstream.sideIncarnation !== target.sideIncarnation) {
    const detail = `the side process of upstream ${target.upstream} was replaced`;
    return Err(
      refuseNotRun(RefusalReason.StaleIncarnation, UPSTREAM_CLOSED_RETRY_AFTER_MS, detail),
    );
  }
  return Ok({ upstream, link: upstream.link });
}

/** Builds the routing query of a request. */
export function createQuery(
  { request, requestClass, pool, deadlineAtMs }: ClassifiedRequest,
  history: RetryHistory,
  nowMs: number,
): RoutingQuery {
  return {
    pool: pool.name,
    model: request.model,
    prefixHashes: request.prefixHashes,
    excludedUpstreams: history.excludedUpstreams,
    avoidedDomains: history.avoidedDomains,
    remainingMs: deadlineAtMs - nowMs,
    isRepeatable: requestClass.isRepeatable,
  };
}

/**
 * Builds the target of an attempt from the current state of an upstream.
 *
 * @param attemptNumber unique within this entry's incarnation
 */
export function createTarget(
  board: EntryBoard,
  name: string,
  attemptNumber: string,
): AttemptTarget {
  const upstream = board.upstreams.get(name);
  return {
    upstream: name,
    sideIncarnation: upstream?.sideIncarnation ?? '',
    attemptId: `${board.name}.${board.incarnation}.${attemptNumber}`,
    sideTickMs: upstream?.tickMs ?? 0,
  };
}

/** Builds the message that submits a request. */
export function createSubmit(
  board: EntryBoard,
  classified: ClassifiedRequest,
  target: AttemptTarget,
  upstream: UpstreamState,
  creditBytes: number,
  nowMs: number,
): MessageOf<MessageType.Submit> {
  const { request, requestClass, workspace } = classified;
  return {
    type: MessageType.Submit,
    attemptId: target.attemptId,
    sideIncarnation: target.sideIncarnation,
    echoTickMs: upstream.tickMs,
    configRevision: board.config.revision,
    workspace: workspace.name,
    className: requestClass.name,
    priority: requestClass.priority,
    isRepeatable: requestClass.isRepeatable,
    isStream: request.isStream,
    remainingMs: classified.deadlineAtMs - nowMs,
    progressTimeoutMs: requestClass.progressTimeoutMs,
    method: request.method,
    path: request.path,
    headers: request.headers,
    body: request.body as Uint8Array<ArrayBuffer>,
    prefixHashes: [...request.prefixHashes],
    creditBytes,
  };
}
