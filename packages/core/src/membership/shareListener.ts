/** Interface through which peer links pass messages to the workspace limiter. */
import type { MessageOf, MessageType } from '../messages/message.js';
import type { Link } from '../ports/link.js';

/** Receives messages about shares of workspace limits. */
export abstract class ShareListener {
  /** @param link link on which to reply */
  abstract onShareMessage(
    peer: string,
    link: Link,
    message: MessageOf<MessageType.ShareRequest> | MessageOf<MessageType.ShareGrant>,
  ): void;
}
