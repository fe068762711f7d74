/**
 * Codec for link frames. A frame is a msgpack array of messages, which are validated on receipt.
 *
 * Messages are batched into frames because each frame costs a system call.
 */
import { Packr } from 'msgpackr';

import { parseMessage, type Message } from '@radishbay/core/messages/message.js';
import { Err, Ok, type Result } from '@radishbay/core/outcome.js';

/**
 * Encodes objects as msgpack maps rather than msgpackr records, so that a process of another
 * version can read the fields by name.
 */
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
 * Decodes a frame and validates its messages.
 *
 * @returns the messages in order, or a description of the first error
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
