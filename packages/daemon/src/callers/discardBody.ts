/**
 * What is left of a body that nobody needs any more.
 *
 * The answer has gone out before the body is read. A connection that were closed at once would be
 * reset and take the answer with it, so the rest is read and dropped, up to a bound.
 */
import type http from 'node:http';

import { RefusalReason } from '@radishbay/core/model/reason.js';

import type { ParseFault } from './requestParser.js';

/** Bytes that are read for nothing: about what is on its way when the answer goes out. */
const DISCARDED_BYTES_MAX = 1024 * 1024;

/** Reads and drops the rest of a body; one that goes on too long loses its connection. */
export function discardBody(message: http.IncomingMessage): void {
  let discardedBytes = 0;
  message.on('data', (chunk: Buffer) => {
    discardedBytes += chunk.length;
    if (discardedBytes > DISCARDED_BYTES_MAX) message.socket.destroy();
  });
  message.resume();
}

/** Names the fault of a body that is over its limit. */
export function describeTooLarge(limitBytes: number): ParseFault {
  return {
    reason: RefusalReason.BodyTooLarge,
    detail: `the body is larger than ${limitBytes} bytes`,
  };
}
