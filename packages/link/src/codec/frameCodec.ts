/**
 * Frames of a link: a msgpack array of messages, checked on receipt.
 *
 * Several messages share a frame, since the cost of a frame is paid for each system call.
 */
import { Packr } from 'msgpackr';

import { parseMessage, type Message } from '@radishbay/core/messages/message.js';
import { Err, Ok, type Result } from '@radishbay/core/outcome.js';

/** Maps rather than records: a process of another version reads fields by their names. */
const PACKR = new Packr({ useRecords: false, moreTypes: false });

/** Encodes messages into one frame. */
export function encodeFrame(messages: readonly Message[]): Buffer {
  return PACKR.pack(messages);
}

function decodeValue(frame: Uint8Array): Result<unknown, string> {
  try {
    return Ok(PACKR.unpack(frame));
  } catch (error) {
    return Err(`frame is no msgpack: ${String(error)}`);
  }
}

/**
 * Decodes a frame.
 *
 * @returns its messages in order, or a sentence that names the first fault
 */
export function decodeFrame(frame: Uint8Array): Result<Message[], string> {
  const decoded = decodeValue(frame);
  if (!decoded.ok) return decoded;
  if (!Array.isArray(decoded.val)) return Err('frame is no array of messages');

  const parsed = decoded.val.map(parseMessage);
  const fault = parsed.find((result) => !result.ok);
  if (fault && !fault.ok) return fault;
  return Ok(parsed.map((result) => result.unwrap()));
}
