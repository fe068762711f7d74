/**
 * One end of a link over a WebSocket.
 *
 * Messages sent within one turn of the event loop leave in one frame. A frame that cannot be read
 * closes the link and is counted; the process goes on.
 */
import { WebSocket, type RawData } from 'ws';

import type { Message } from '@radishbay/core/messages/message.js';
import { Link, type LinkHandlers } from '@radishbay/core/ports/link.js';
import type { Metrics } from '@radishbay/core/ports/metrics.js';

import { decodeFrame, encodeFrame } from '../codec/frameCodec.js';

/** Close code of RFC 6455 for a policy violation. */
const CLOSE_POLICY_VIOLATION = 1008;

/** Close code of RFC 6455 for a normal end. */
const CLOSE_NORMAL = 1000;

/** Longest close reason that a WebSocket carries. */
const CLOSE_REASON_LIMIT_BYTES = 120;

/** Time for the closing handshake before the socket is destroyed. */
const CLOSE_TIMEOUT_MS = 1_000;

function toBytes(data: RawData): Uint8Array {
  if (Array.isArray(data)) return Buffer.concat(data);
  return data instanceof ArrayBuffer ? new Uint8Array(data) : data;
}

/** A link whose other end is another process. */
export class WsLink extends Link {
  readonly #socket: WebSocket;

  readonly #metrics: Metrics;

  #handlers: LinkHandlers | undefined;

  #early: Message[] = [];

  #queued: Message[] = [];

  #flush: NodeJS.Immediate | undefined;

  #closeDetail: string | undefined;

  #isClosedTold = false;

  /** @param socket a WebSocket that is open or opening */
  constructor(socket: WebSocket, metrics: Metrics) {
    super();
    this.#socket = socket;
    this.#metrics = metrics;
    socket.on('open', () => this.#handlers?.onOpen());
    socket.on('message', (data) => this.#read(toBytes(data)));
    socket.on('error', (error) => this.#noteError(error));
    socket.on('close', (code, reason) => this.#tellClosed(`closed: ${code} ${reason.toString()}`));
  }

  get isOpen(): boolean {
    return this.#socket.readyState === WebSocket.OPEN && this.#closeDetail === undefined;
  }

  get bufferedBytes(): number {
    return this.#socket.bufferedAmount;
  }

  send(message: Message): void {
    if (!this.isOpen) return;
    this.#queued.push(message);
    this.#flush ??= setImmediate(() => this.#flushNow());
  }

  close(detail: string): void {
    if (this.#closeDetail !== undefined) return;
    this.#flushNow();
    this.#closeWith(CLOSE_NORMAL, detail);
  }

  listen(handlers: LinkHandlers): void {
    this.#handlers = handlers;
    if (this.#isClosedTold) {
      handlers.onClose(this.#closeDetail ?? 'closed');
      return;
    }
    const early = this.#early;
    this.#early = [];
    early.forEach((message) => handlers.onMessage(message));
  }

  #flushNow(): void {
    if (this.#flush) clearImmediate(this.#flush);
    this.#flush = undefined;
    if (this.#queued.length === 0 || !this.isOpen) return;
    const messages = this.#queued;
    this.#queued = [];
    this.#socket.send(encodeFrame(messages));
  }

  #read(frame: Uint8Array): void {
    if (this.#closeDetail !== undefined) return;
    const decoded = decodeFrame(frame);
    if (!decoded.ok) {
      this.#metrics.count('link.broken-frame');
      this.#closeWith(CLOSE_POLICY_VIOLATION, decoded.val);
      return;
    }
    decoded.val.forEach((message) => this.#deliver(message));
  }

  #deliver(message: Message): void {
    if (this.#closeDetail !== undefined) return;
    if (this.#handlers) this.#handlers.onMessage(message);
    else this.#early.push(message);
  }

  /** Closes at once towards this end's listener: nothing is delivered after that. */
  #closeWith(code: number, detail: string): void {
    this.#closeDetail = detail;
    if (this.#socket.readyState === WebSocket.CONNECTING) this.#socket.terminate();
    else this.#socket.close(code, detail.slice(0, CLOSE_REASON_LIMIT_BYTES));
    const timer = setTimeout(() => this.#socket.terminate(), CLOSE_TIMEOUT_MS);
    timer.unref();
    this.#socket.once('close', () => clearTimeout(timer));
    this.#tellClosed(detail);
  }

  #noteError(error: Error): void {
    this.#metrics.count('link.socket-error');
    this.#tellClosed(error.message);
  }

  #tellClosed(detail: string): void {
    this.#closeDetail ??= detail;
    if (this.#isClosedTold) return;
    this.#isClosedTold = true;
    this.#handlers?.onClose(this.#closeDetail);
  }
}
