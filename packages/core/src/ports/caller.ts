/** The caller's end of a request, as decisions see it. */
import type { HeaderMap } from '../model/request.js';
import type { Refusal } from '../model/reason.js';

/** How the end of an answer's body is told. */
export enum AnswerFraming {
  /** By its length, or by a last chunk. */
  Told = 'told',
  /** By the end of the connection: whoever passes it on cannot know more than that. */
  UntilClose = 'until-close',
}

/** Answers one request; the adapter over HTTP is thin. */
export abstract class Caller {
  /**
   * Begins the answer.
   *
   * @param framing how the caller can tell that the answer is whole
   */
  abstract writeHead(status: number, headers: HeaderMap, framing?: AnswerFraming): void;

  /**
   * Writes bytes of the answer.
   *
   * @returns false where the caller is slow: wait for `onDrain`
   */
  abstract writeData(data: Uint8Array): boolean;

  /** Completes the answer: it was whole. */
  abstract end(): void;

  /** Breaks an answer off after its head was sent, so that it never looks whole. */
  abstract abort(refusal: Refusal): void;

  /** Answers with a refusal; only before the head was sent. */
  abstract refuse(refusal: Refusal): void;

  /** Names the listener for the caller being ready for more bytes. */
  abstract onDrain(listener: () => void): void;

  /** Names the listener for the caller having hung up. */
  abstract onGone(listener: () => void): void;
}
