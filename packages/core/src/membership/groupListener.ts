/** Interface through which links to side processes notify the controller of expert groups. */
import type { MessageOf, MessageType } from '../messages/message.js';

/** Receives link events and replies that concern orders to the engines of groups. */
export abstract class GroupListener {
  /** Called when the link to an upstream's side process is open. */
  abstract onGroupSideOpen(upstream: string): void;

  /** Called when that link is lost; orders sent on it may have taken effect. */
  abstract onGroupSideLost(upstream: string): void;

  /** Called for a reply of an upstream's engine to a group order. */
  abstract onGroupReply(upstream: string, reply: MessageOf<MessageType.GroupReply>): void;
}
