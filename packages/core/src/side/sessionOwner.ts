/** Callbacks of a link session to its owner. */
import type { Message } from '../messages/message.js';

import type { LinkSession } from './linkSession.js';

/** Receives the events of link sessions. */
export abstract class SessionOwner {
  /** `Hello` has passed its checks; `Welcome` is sent when this returns. */
  abstract onAuthenticated(session: LinkSession): void;

  /** `Welcome` has been sent. */
  abstract onReady(session: LinkSession): void;

  abstract onMessage(session: LinkSession, message: Message): void;

  /** Called once, as the last callback. */
  abstract onClosed(session: LinkSession): void;
}
