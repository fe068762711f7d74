/** What the limiter of workspaces hears from the links among entries. */
import type { MessageOf, MessageType } from '../messages/message.js';
import type { Link } from '../ports/link.js';

/** Listener for shares of workspace limits. */
export abstract class ShareListener {
  /** @param link link on which the answer goes back */
  abstract onShareMessage(
    peer: string,
    link: Link,
    message: MessageOf<MessageType.ShareRequest> | MessageOf<MessageType.ShareGrant>,
  ): void;
}
