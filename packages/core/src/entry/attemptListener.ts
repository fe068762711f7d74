/** Receives the events of the links from an entry to the side processes. */
import type { Message } from '../messages/message.js';

/** Listener for link events and messages that concern attempts. */
export abstract class AttemptListener {
  /** A link to the side process of an upstream has opened and its `Welcome` was processed. */
  abstract onSideOpen(upstream: string): void;

  /**
   * The link was closed, by either end or after a timeout. No more of its messages will arrive.
   *
   * @param sideIncarnation incarnation of the side process at the other end of the lost link
   */
  abstract onSideLost(upstream: string, sideIncarnation: string): void;

  /** A message about an attempt, a report or cache events has arrived. */
  abstract onSideMessage(upstream: string, message: Message): void;
}
