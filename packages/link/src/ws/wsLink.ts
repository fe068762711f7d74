/**
 * One end of a link over a WebSocket.
 *
 * Messages sent within one turn of the event loop share a frame. An undecodable frame closes the
 * link and is counted, and so does an exception of the handlers; the process keeps running.
 */
import { WebSocket, type RawData } from 'ws';

import { reportFault, toError, type FaultSinks } from '@radishbay/core/fault.js';
import type { Message } from '@radishbay/core/messages/message.js';
import { Link, type LinkHandlers } from '@radishbay/core/ports/link.js';

import { decodeFrame, encodeFrame } from '../codec/frameCodec.js';

/** RFC 6455 close code for a policy violation. */
const CLOSE_POLICY_VIOLATION = 1008;

/** RFC 6455 close code for an unexpected condition at this end. */
const CLOSE_INTERNAL_ERROR = 1011;

/** RFC 6455 close code for a normal closure. */
const CLOSE_NORMAL = 1000;

const LOG_PART = 'link';

/** Longest close reason sent; RFC 6455 allows 123 bytes. */
const CLOSE_REASON_LIMIT_BYTES = 120;

/** Time allowed for the closing handshake before the socket is destroyed. */
const CLOSE_TIMEOUT_MS = 1_000;

/** Encodes as many whole characters of a close reason as may be sent. */
function encodeCloseReason(detail: string): Buffer {
  const bytes = Buffer.alloc(CLOSE_REASON_LIMIT_BYTES);
  const { written } = new TextEncoder().encodeInto(detail, bytes);
  return bytes.subarray(0, written);
}

function toBytes(data: RawData): Uint8Array {
  if (Array.isArray(data)) return Buffer.concat(data);
  return data instanceof ArrayBuffer ? new Uint8Array(data) : data;
}

/** A link to another process over a WebSocket. */
export class WsLink extends Link {
  readonly #socket: WebSocket;

  readonly #sinks: FaultSinks;

  #handlers: LinkHandlers | undefined;

  #unhandledMessages: Message[] = [];

  #sendQueue: Message[] = [];

  #scheduledFlush: NodeJS.Immediate | undefined;

  #closeDetail: string | undefined;

  #isCloseReported = false;

  /** @param socket an open or connecting WebSocket */
  constructor(socket: WebSocket, sinks: FaultSinks) {
    super();
    this.#socket = socket;
    this.#sinks = sinks;
    socket.on('open', () => this.#handlers?.onOpen());
    socket.on('message', (data) => this.#handleFrame(toBytes(data)));
    socket.on('error', (error) => this.#handleError(error));
    socket.on('close', (code, reason) =>
      this.#reportClosed(`closed: ${code} ${reason.toString()}`),
    );
  }

  get isOpen(): boolean {
    return this.#socket.readyState === WebSocket.OPEN && this.#closeDetail === undefined;
  }

  get bufferedBytes(): number {
    return this.#socket.bufferedAmount;
  }

  send(message: Message): void {
    if (!this.isOpen) return;
    this.#sendQueue.push(message);
    this.#scheduledFlush ??= setImmediate(() => this.#flushSendQueue());
  }

  close(detail: string): void {
    if (this.#closeDetail !== undefined) return;
    this.#flushSendQueue();
    this.#closeSocket(CLOSE_NORMAL, detail);
  }

  listen(handlers: LinkHandlers): void {
    this.#handlers = handlers;
    if (this.#isCloseReported) {
      handlers.onClose(this.#closeDetail ?? 'closed');
      return;
    }
    const unhandledMessages = this.#unhandledMessages;
    this.#unhandledMessages = [];
    this.#deliverAll(unhandledMessages);
  }

  #flushSendQueue(): void {
    if (this.#scheduledFlush) clearImmediate(this.#scheduledFlush);
    this.#scheduledFlush = undefined;
    if (this.#sendQueue.length === 0 || !this.isOpen) return;
    const messages = this.#sendQueue;
    this.#sendQueue = [];
    this.#socket.send(encodeFrame(messages));
  }

  #handleFrame(frame: Uint8Array): void {
    if (this.#closeDetail !== undefined) return;
    const decoded = decodeFrame(frame);
    if (!decoded.ok) {
      this.#sinks.metrics.count('link.broken-frame');
      this.#closeSocket(CLOSE_POLICY_VIOLATION, decoded.val);
      return;
    }
    this.#deliverAll(decoded.val);
  }

  #deliverAll(messages: readonly Message[]): void {
    try {
      messages.forEach((message) => this.#deliver(message));
    } catch (thrown) {
      this.#handleFault(toError(thrown));
    }
  }

  /** Closes the link, as the rest of its messages may build on the one that was not handled. */
  #handleFault(error: Error): void {
    reportFault(this.#sinks, LOG_PART, error);
    if (this.#closeDetail !== undefined) return;
    this.#closeSocket(
      CLOSE_INTERNAL_ERROR,
      'an internal error occurred while a message was handled',
    );
  }

  #deliver(message: Message): void {
    if (this.#closeDetail !== undefined) return;
    if (this.#handlers) this.#handlers.onMessage(message);
    else this.#unhandledMessages.push(message);
  }

  /** Reports the close to this end's handlers at once; no message is delivered afterwards. */
  #closeSocket(code: number, detail: string): void {
    this.#closeDetail = detail;
    if (this.#socket.readyState === WebSocket.CONNECTING) this.#socket.terminate();
    else this.#socket.close(code, encodeCloseReason(detail));
    const timer = setTimeout(() => this.#socket.terminate(), CLOSE_TIMEOUT_MS);
    timer.unref();
    this.#socket.once('close', () => clearTimeout(timer));
    this.#reportClosed(detail);
  }

  #handleError(error: Error): void {
    this.#sinks.metrics.count('link.socket-error');
    this.#reportClosed(error.message);
  }

  #reportClosed(detail: string): void {
    this.#closeDetail ??= detail;
    if (this.#isCloseReported) return;
    this.#isCloseReported = true;
    this.#handlers?.onClose(this.#closeDetail);
  }
}
