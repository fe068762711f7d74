/** What the controller of expert groups hears from the links to side processes. */
import type { MessageOf, MessageType } from '../messages/message.js';

/** Listener for what concerns orders to the engines of groups. */
export abstract class GroupListener {
  /** A link to an upstream's side process has opened. */
  abstract onGroupSideOpen(upstream: string): void;

  /** The link is gone; orders sent on it may have taken effect. */
  abstract onGroupSideLost(upstream: string): void;

  abstract onGroupReply(upstream: string, reply: MessageOf<MessageType.GroupReply>): void;
}
