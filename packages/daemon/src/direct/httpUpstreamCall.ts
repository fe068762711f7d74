/** One HTTP/1.1 call to an upstream; failures are classified by the state of its connection. */
import http from 'node:http';
import type { Socket } from 'node:net';

import {
  CallFailureKind,
  type CallEvents,
  type CallInProgress,
  type UpstreamCall,
} from '@radishbay/core/ports/upstreamCaller.js';
import type { BodyTransfer } from '@radishbay/core/ports/requestBody.js';

import type { UpstreamAgent } from './upstreamAgent.js';
import type { WireCodec } from './wireCodec.js';

/** Connect timeout: many round trips between failure domains. */
const CONNECT_TIMEOUT_MS = 600;

/** Maximum size of a response's headers, and of its trailers. */
const HEAD_BYTES_MAX = 16 * 1024;

/** Maximum number of informational (1xx) responses before the final response. */
const INFORMATIONAL_MAX = 16;

/** Maximum bytes of a response outside its body: headers, chunk framing and trailers. */
const FRAMING_BYTES_MAX = 256 * 1024;

/** Errors of Node's HTTP parser for headers or chunk extensions that exceed their limit. */
const OVERFLOW_CODES = new Set(['HPE_HEADER_OVERFLOW', 'HPE_CHUNK_EXTENSIONS_OVERFLOW']);

const METHODS_WITHOUT_BODY = new Set(['GET', 'HEAD', 'DELETE']);

export function splitAddress(address: string): { readonly host: string; readonly port: number } {
  const at = address.lastIndexOf(':');
  return { host: address.slice(0, at), port: Number(address.slice(at + 1)) };
}

/** Creates the header that frames the body: its length, or chunked encoding if unknown. */
function createFramingHeaders({ request }: UpstreamCall): Readonly<Record<string, string>> {
  const { lengthBytes } = request.body;
  if (lengthBytes === undefined) return { 'transfer-encoding': 'chunked' };
  const hasBody = lengthBytes > 0 || !METHODS_WITHOUT_BODY.has(request.method);
  return hasBody ? { 'content-length': String(lengthBytes) } : {};
}

/** One call; reports its end or failure exactly once, unless it is cancelled. */
export class HttpUpstreamCall implements CallInProgress {
  readonly #call: UpstreamCall;

  readonly #codec: WireCodec;

  readonly #agent: UpstreamAgent;

  readonly #events: CallEvents;

  readonly #request: http.ClientRequest;

  readonly #body: BodyTransfer;

  #response: http.IncomingMessage | undefined;

  #connectTimer: NodeJS.Timeout | undefined;

  readonly #startedAtMs = performance.now();

  #informationalCount = 0;

  /** Bytes that the connection had received before this call. */
  #bytesReadAtStart = 0;

  #bodyBytes = 0;

  #isConnected = false;

  #isDone = false;

  /** Whether the end of the response is being handled; the agent reuses the connection later. */
  #isReportingEnd = false;

  constructor(call: UpstreamCall, codec: WireCodec, agent: UpstreamAgent, events: CallEvents) {
    this.#call = call;
    this.#codec = codec;
    this.#agent = agent;
    this.#events = events;
    const { method, path, body } = call.request;
    this.#request = http.request({
      ...splitAddress(call.upstream.address),
      method,
      path,
      agent,
      maxHeaderSize: HEAD_BYTES_MAX,
      headers: {
        ...codec.writeHeaders(call),
        ...createFramingHeaders(call),
      },
    });
    this.#request.once('socket', (socket) => this.#handleSocket(socket));
    this.#request.on('error', (error) => this.#handleError(error));
    this.#request.on('information', () => this.#handleInformational());
    this.#request.on('upgrade', (_response, socket) => {
      this.#fail('the upstream switched protocols');
      socket.destroy();
    });
    this.#request.on('response', (response) => this.#handleResponse(response));
    this.#request.on('drain', () => this.#body.resume());
    this.#body = body.sendTo({
      write: (data) => this.#request.write(data),
      end: () => this.#request.end(),
    });
  }

  readonly cancel = (): void => {
    if (this.#isReportingEnd) this.#closeConnection();
    this.#isDone = true;
    clearTimeout(this.#connectTimer);
    this.#body.stop();
    this.#request.destroy();
  };

  readonly pause = (): void => {
    this.#response?.pause();
  };

  readonly resume = (): void => {
    this.#response?.resume();
  };

  #handleSocket(socket: Socket): void {
    socket.setNoDelay(true);
    this.#bytesReadAtStart = socket.bytesRead;
    if (!socket.connecting) {
      this.#isConnected = true;
      return;
    }
    this.#agent.noteConnection(socket);
    this.#connectTimer = setTimeout(() => {
      this.#fail(`the connection was not established within ${CONNECT_TIMEOUT_MS} ms`);
      this.#request.destroy();
    }, CONNECT_TIMEOUT_MS);
    socket.once('connect', () => {
      clearTimeout(this.#connectTimer);
      // After a pause of this process, 'connect' may be emitted before an overdue timer runs.
      if (performance.now() - this.#startedAtMs <= CONNECT_TIMEOUT_MS) this.#isConnected = true;
      else {
        this.#fail('the connection was established after the connect timeout');
        this.#request.destroy();
      }
    });
  }

  #handleResponse(response: http.IncomingMessage): void {
    if (this.#isDone) {
      response.resume();
      return;
    }
    this.#response = response;
    response.on('error', (error) => this.#handleError(error));
    response.on('close', () => {
      if (!response.complete) this.#fail('the response was truncated');
    });
    const { reusedSocket } = this.#request;
    this.#events.onHead(this.#codec.readHead(response, this.#call, reusedSocket));
    if (this.#isDone) return;
    response.on('data', (data: Buffer) => this.#handleData(data));
    response.on('end', () => this.#handleEnd(response.complete));
  }

  #handleData(data: Buffer): void {
    if (this.#isDone) return;
    this.#bodyBytes += data.length;
    if (this.#framingBytes > FRAMING_BYTES_MAX) {
      this.#fail(`received more than ${FRAMING_BYTES_MAX} bytes outside the response body`, true);
      this.#request.destroy();
      return;
    }
    this.#events.onData(data);
  }

  /** Bytes received during this call that are not part of the response body. */
  get #framingBytes(): number {
    const { socket } = this.#request;
    return socket ? socket.bytesRead - this.#bytesReadAtStart - this.#bodyBytes : 0;
  }

  #handleEnd(isWhole: boolean): void {
    if (this.#isDone || !isWhole) return;
    this.#isDone = true;
    this.#abortUnsentBody();
    this.#isReportingEnd = true;
    this.#events.onEnd();
    this.#isReportingEnd = false;
  }

  /**
   * Closes the connection of a whole response that was rejected. The request may be sent again, and
   * a late copy of this response would be taken for the next one, as both have the same id.
   */
  #closeConnection(): void {
    this.#request.socket?.destroy();
  }

  /**
   * Closes the connection if the upstream answered before it received the whole body: on a reused
   * connection, the next request would be read as the rest of this body.
   */
  #abortUnsentBody(): void {
    if (this.#request.writableEnded) return;
    this.#body.stop();
    this.#request.destroy();
  }

  #handleError(error: NodeJS.ErrnoException): void {
    const isEndless = error.code !== undefined && OVERFLOW_CODES.has(error.code);
    this.#fail(error.message || 'the connection failed', isEndless);
  }

  #handleInformational(): void {
    this.#informationalCount += 1;
    if (this.#informationalCount !== INFORMATIONAL_MAX + 1) return;
    this.#fail(`received more than ${INFORMATIONAL_MAX} informational responses`, true);
    this.#request.removeAllListeners('information');
    this.#request.destroy();
  }

  #fail(detail: string, isEndless = false): void {
    if (this.#isDone) return;
    this.#isDone = true;
    clearTimeout(this.#connectTimer);
    this.#body.stop();
    this.#agent.destroyIdleSockets(this.#call.upstream.address);
    const lostKind = isEndless ? CallFailureKind.Endless : CallFailureKind.Lost;
    this.#events.onFailure(this.#isConnected ? lostKind : CallFailureKind.NotSent, detail);
  }
}
