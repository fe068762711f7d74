/** What the owner of sessions wants to hear. */
import type { Message } from '../messages/message.js';

import type { LinkSession } from './linkSession.js';

/** Hears what happens on a session. */
export abstract class SessionOwner {
  /** The greeting has passed its checks; `Welcome` follows when this returns. */
  abstract onAuthenticated(session: LinkSession): void;

  /** `Welcome` has been sent. */
  abstract onReady(session: LinkSession): void;

  abstract onMessage(session: LinkSession, message: Message): void;

  /** Called once; nothing more comes. */
  abstract onClosed(session: LinkSession): void;
}
