/** What the request path of an entry hears from the links to side processes. */
import type { Message } from '../messages/message.js';

/** Listener for everything that concerns attempts. */
export abstract class AttemptListener {
  /** A link to an upstream's side process has opened and its `Welcome` has been taken in. */
  abstract onSideOpen(upstream: string): void;

  /**
   * The link has closed or been given up; no message of it comes any more.
   *
   * @param sideIncarnation incarnation that the lost link spoke to
   */
  abstract onSideLost(upstream: string, sideIncarnation: string): void;

  /** A message about an attempt, a report or cache events has come. */
  abstract onSideMessage(upstream: string, message: Message): void;
}
