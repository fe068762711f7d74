/**
 * Discards the rest of a request body after the response has been sent.
 *
 * Closing the connection with unread data would reset it, and the caller could lose the response.
 * The rest of the body is therefore read and discarded, up to a limit.
 */
import type http from 'node:http';

import { RefusalReason } from '@radishbay/core/model/reason.js';

import type { ParseFault } from './requestParser.js';

/** Maximum bytes discarded: about what is in transit when the response is sent. */
const DISCARDED_BYTES_MAX = 1024 * 1024;

/** Time for the caller to read the response before its connection is closed. */
const DISCARD_TIMEOUT_MS = 2_000;

/**
 * Reads and discards the rest of a body; closes the connection if it exceeds the limit or does not
 * end in time.
 */
export function discardBody(message: http.IncomingMessage, limitBytes = DISCARDED_BYTES_MAX): void {
  if (message.destroyed) return;
  let discardedBytes = 0;
  const timer = setTimeout(() => message.socket.destroy(), DISCARD_TIMEOUT_MS);
  message.once('close', () => clearTimeout(timer));
  message.on('data', (chunk: Buffer) => {
    discardedBytes += chunk.length;
    if (discardedBytes > limitBytes) message.socket.destroy();
  });
  message.resume();
}

/** Creates the fault for a body that exceeds its size limit. */
export function describeTooLarge(limitBytes: number): ParseFault {
  return {
    reason: RefusalReason.BodyTooLarge,
    detail: `the request body exceeds ${limitBytes} bytes`,
  };
}
