/**
 * An answer that is sent as soon as the head of the request has arrived, while the rest of the
 * request is still being written. It has neither a length nor chunks.
 */
import type net from 'node:net';

import { resetConnection } from '@radishbay/objects/connectionReset.js';

/** How the connection of an early answer closes. */
export enum EarlyClose {
  /** The answer is complete. */
  End = 'end',
  /** The answer is cut off. */
  Reset = 'reset',
}

export interface EarlyAnswer {
  /** Header lines, each with its line end. */
  readonly headLines: string;
  readonly body: string;
  readonly close: EarlyClose;
  /** Time from the answer to the close; 0 by default, in the same turn. */
  readonly closeDelayMs?: number;
}

/**
 * Answers the request of a connection, and reads none of its body.
 *
 * @param createAnswer creates the answer from the head of the request
 */
export function answerEarly(
  socket: net.Socket,
  createAnswer: (requestHead: string) => EarlyAnswer,
): void {
  let received = '';
  const handleData = (data: Buffer): void => {
    received += data.toString('latin1');
    if (!received.includes('\r\n\r\n')) return;
    socket.off('data', handleData);
    socket.pause();
    const { headLines, body, close, closeDelayMs = 0 } = createAnswer(received);
    socket.write(`HTTP/1.1 200 OK\r\n${headLines}\r\n${body}`);
    const closeSocket = () => (close === EarlyClose.End ? socket.end() : resetConnection(socket));
    if (closeDelayMs === 0) closeSocket();
    else setTimeout(closeSocket, closeDelayMs);
  };
  socket.on('data', handleData);
}
