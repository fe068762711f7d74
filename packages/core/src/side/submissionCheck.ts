/** Checks a submission before the concurrency limiter is asked. */
import { ConfigKind, DomainState } from '../config/object.js';
import type { MessageOf, MessageType } from '../messages/message.js';
import { RefusalReason } from '../model/reason.js';
import type { SideBoard } from '../state/sideBoard.js';

import type { AttemptRecords } from './attemptRecords.js';

/** Whether the failure domain of this upstream is drained, by this process's configuration. */
export function isDrained(board: SideBoard): boolean {
  const upstream = board.config.get(ConfigKind.Upstream, board.upstream);
  const domains = [board.domain, upstream?.domain ?? board.domain];
  return domains.some(
    (name) => board.config.get(ConfigKind.Domain, name)?.state === DomainState.Drained,
  );
}

/** Whether an operator has stopped this upstream, by this process's configuration. */
export function isStopped(board: SideBoard): boolean {
  return board.config.get(ConfigKind.Upstream, board.upstream)?.isStopped ?? false;
}

/** Why this process accepts no new work; undefined if it accepts work. */
export function findClosedReason(board: SideBoard): RefusalReason | undefined {
  if (board.isStopping) return RefusalReason.ShuttingDown;
  if (board.isLeaving || isStopped(board)) return RefusalReason.UpstreamLeaving;
  if (isDrained(board)) return RefusalReason.DomainDrained;
  return undefined;
}

/** Reason to refuse a submission, capacity aside; undefined if there is none. */
export function checkSubmission(
  submit: MessageOf<MessageType.Submit>,
  board: SideBoard,
  records: AttemptRecords,
  nowMs: number,
): RefusalReason | undefined {
  if (submit.sideIncarnation !== board.incarnation) return RefusalReason.StaleIncarnation;
  if (records.isStale(submit.echoTickMs, nowMs)) return RefusalReason.StaleSubmission;
  if (records.isDead(submit.attemptId)) return RefusalReason.AttemptDead;
  return findClosedReason(board);
}
