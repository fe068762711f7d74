/** Interface to the caller of a request. */
import type { HeaderMap } from '../model/request.js';
import type { Refusal } from '../model/reason.js';

/** How the end of an answer's body is delimited. */
export enum AnswerFraming {
  /** By a content length or a last chunk. */
  Delimited = 'told',
  /** By the close of the connection, so that a truncated body cannot be detected. */
  UntilClose = 'until-close',
}

/** Sends the answer to one request. The implementation over HTTP contains no decisions. */
export abstract class Caller {
  /**
   * Sends the status and the headers of the answer.
   *
   * @param framing how the caller detects the end of the answer
   */
  abstract writeHead(status: number, headers: HeaderMap, framing?: AnswerFraming): void;

  /**
   * Writes bytes of the answer's body.
   *
   * @returns false if the write buffer is full: wait for the `onDrain` listener
   */
  abstract writeData(data: Uint8Array): boolean;

  /**
   * Sets the memory in use for parts of the answer that are not written yet.
   *
   * @param isNeeded whether the answer fails without it; if so, other requests may be evicted
   * @returns false if there is no room
   */
  abstract holdMemory(bytes: number, isNeeded: boolean): boolean;

  /** Ends a complete answer. */
  abstract end(): void;

  /** Aborts an answer after its head was sent, so that the caller sees it as incomplete. */
  abstract abort(refusal: Refusal): void;

  /** Answers with a refusal. Allowed only before the head was sent. */
  abstract refuse(refusal: Refusal): void;

  /** Sets the listener that is called when the caller can receive more bytes. */
  abstract onDrain(listener: () => void): void;

  /** Sets the listener that is called when the caller disconnects. */
  abstract onDisconnect(listener: () => void): void;
}
