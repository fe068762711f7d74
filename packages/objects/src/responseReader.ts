/**
 * Reads the response to one HTTP request, and reports how it ended.
 *
 * A server in trouble may send bytes that are no response, part of one, or bytes without end. None
 * of these counts as a response, and the connection is closed.
 */
import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

import { toError } from '@radishbay/core/fault.js';
import { isFinalStatus } from '@radishbay/core/model/responseStatus.js';

import { findLostPeerEnd, LostPeerEnd, onEndWithoutPeer } from './connectionReset.js';
import { HeadInspector } from './headInspector.js';

/** Maximum size of a response's headers, and of its trailers. */
export const HEAD_BYTES_MAX = 16 * 1024;

/** Maximum number of informational (1xx) responses before the final response. */
const INFORMATIONAL_MAX = 16;

/** Maximum bytes of a response outside its body: headers, chunk framing and trailers. */
const FRAMING_BYTES_MAX = 256 * 1024;

/** Errors of Node's HTTP parser for headers or chunk extensions that exceed their limit. */
const OVERFLOW_CODES = new Set(['HPE_HEADER_OVERFLOW', 'HPE_CHUNK_EXTENSIONS_OVERFLOW']);

/** The only transfer coding that a server may use without being asked (RFC 9112, 7). */
const CHUNKED = 'chunked';

/** Why there is no complete response. */
export interface ResponseFailure {
  /** Whether the response exceeded a limit, as one without end does. */
  readonly isEndless: boolean;
  readonly detail: string;
}

/**
 * Events of one response, in order; the last event is either `onEnd` or `onFailure`, unless an
 * error of this process interrupts them.
 */
export interface ResponseEvents {
  readonly onHead: (response: IncomingMessage) => void;
  readonly onData: (data: Buffer) => void;
  /** The response is complete. */
  readonly onEnd: () => void;
  readonly onFailure: (failure: ResponseFailure) => void;
  /**
   * An exception was thrown while the response was handled, also by one of the other listeners. The
   * connection is closed, and no events follow. An exception of this listener is not caught.
   */
  readonly onFault: (error: Error) => void;
}

/** @returns why a head is not that of a response; undefined for a valid one */
function findHeadFault(response: IncomingMessage): string | undefined {
  const { httpVersion, httpVersionMajor, statusCode = 0, headers } = response;
  if (httpVersionMajor !== 1) return `the response has protocol version ${httpVersion}`;
  if (!isFinalStatus(statusCode)) return `the response has status ${statusCode}`;
  const coding = headers['transfer-encoding'] ?? CHUNKED;
  if (coding.toLowerCase() !== CHUNKED) return `the response has transfer coding "${coding}"`;
  return undefined;
}

/** Whether a response shows its own end; otherwise it ends with its connection. */
export function isDelimited({ headers }: IncomingMessage): boolean {
  return 'content-length' in headers || 'transfer-encoding' in headers;
}

/**
 * Reads one response; reports its end or failure exactly once, unless it is stopped.
 *
 * Exceptions concern this response only: they are reported and never reach Node, which would end
 * the process.
 */
export class ResponseReader {
  readonly #request: ClientRequest;

  readonly #events: ResponseEvents;

  #inspector: HeadInspector | undefined;

  #response: IncomingMessage | undefined;

  #informationalCount = 0;

  /** Bytes that the connection had received before this response. */
  #bytesReadAtStart = 0;

  #bodyBytes = 0;

  #isDone = false;

  /** Whether it is not known yet how the connection ended, and so whether the response is whole. */
  #isEndPending = false;

  /** Whether the response has ended meanwhile. */
  #isEndHeld = false;

  /** A response without a body, such as a 204, leaves its connection open for the next request. */
  #unwatchEnd: (() => void) | undefined;

  /** @param request created with {@link HEAD_BYTES_MAX} as `maxHeaderSize` */
  constructor(request: ClientRequest, events: ResponseEvents) {
    this.#request = request;
    this.#events = events;
    request.once('socket', (socket) => {
      this.#bytesReadAtStart = socket.bytesRead;
      this.#inspector = new HeadInspector(socket);
    });
    request.on('error', (error) => this.#run(() => this.#handleError(error)));
    request.on('information', () => this.#run(() => this.#handleInformational()));
    request.on('upgrade', (_response, socket) => {
      this.fail('the server switched protocols');
      socket.destroy();
    });
    request.on('response', (response) => this.#run(() => this.#handleResponse(response)));
    request.on('close', () => {
      if (!this.#response) this.fail('the connection closed without a response');
    });
  }

  /** Stops reading: no further events follow. The caller closes the connection. */
  stop(): void {
    this.#isDone = true;
  }

  /**
   * Closes the connection and reports a failure, unless the response has ended.
   *
   * @param isEndless whether the response exceeded a limit, as one without end does
   */
  fail(detail: string, isEndless = false): void {
    if (this.#isDone) return;
    this.#isDone = true;
    this.#request.destroy();
    this.#run(() => this.#events.onFailure({ isEndless, detail }));
  }

  /** Closes the connection, which a keep-alive agent would use again. */
  close(): void {
    this.#request.socket?.destroy();
  }

  pause(): void {
    this.#response?.pause();
  }

  resume(): void {
    this.#response?.resume();
  }

  #handleResponse(response: IncomingMessage): void {
    if (this.#isDone) {
      this.#inspector?.stop();
      response.resume();
      return;
    }
    this.#response = response;
    const fault = this.#inspector?.inspectNext() ?? findHeadFault(response);
    this.#inspector?.stop();
    if (fault !== undefined) {
      this.fail(fault);
      return;
    }
    response.on('error', (error) => this.#run(() => this.#handleError(error)));
    response.on('close', () => {
      if (!response.complete) this.fail('the response was truncated');
    });
    if (!isDelimited(response)) {
      const { socket } = response;
      this.#unwatchEnd = onEndWithoutPeer(socket, () => this.#proveEnd(socket));
    }
    this.#events.onHead(response);
    if (this.#isDone) return;
    response.on('data', (data: Buffer) => this.#run(() => this.#handleData(data)));
    response.on('end', () => this.#run(() => this.#handleEnd(response.complete)));
  }

  /** Runs a listener, so that an exception ends this response and not the process. */
  #run(listener: () => void): void {
    try {
      listener();
    } catch (thrown) {
      this.#isDone = true;
      this.#request.destroy();
      // Once the response has ended, Node keeps the connection in spite of that.
      this.close();
      this.#events.onFault(toError(thrown));
    }
  }

  #handleData(data: Buffer): void {
    if (this.#isDone) return;
    this.#bodyBytes += data.length;
    if (this.#framingBytes > FRAMING_BYTES_MAX) {
      this.fail(`received more than ${FRAMING_BYTES_MAX} bytes outside the response body`, true);
    } else this.#events.onData(data);
  }

  /** Bytes received during this response that are not part of its body. */
  get #framingBytes(): number {
    const { socket } = this.#request;
    return socket ? socket.bytesRead - this.#bytesReadAtStart - this.#bodyBytes : 0;
  }

  #handleEnd(isWhole: boolean): void {
    if (this.#isDone || !isWhole) return;
    if (this.#isEndPending) {
      this.#isEndHeld = true;
      return;
    }
    this.#isDone = true;
    this.#unwatchEnd?.();
    this.#events.onEnd();
  }

  #proveEnd(socket: Socket): void {
    this.#isEndPending = true;
    findLostPeerEnd(socket, (end) => this.#run(() => this.#handleLostPeerEnd(end)));
  }

  #handleLostPeerEnd(end: LostPeerEnd): void {
    if (end === LostPeerEnd.Reset) {
      this.fail('the connection was reset');
      return;
    }
    this.#isEndPending = false;
    if (this.#isEndHeld) this.#handleEnd(true);
  }

  #handleError(error: NodeJS.ErrnoException): void {
    const isEndless = error.code !== undefined && OVERFLOW_CODES.has(error.code);
    this.fail(error.message || 'the connection failed', isEndless);
  }

  #handleInformational(): void {
    const fault = this.#inspector?.inspectNext();
    if (fault !== undefined) {
      this.fail(fault);
      return;
    }
    this.#informationalCount += 1;
    if (this.#informationalCount <= INFORMATIONAL_MAX) return;
    this.#request.removeAllListeners('information');
    this.fail(`received more than ${INFORMATIONAL_MAX} informational responses`, true);
  }
}
