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
import {
  HEAD_BYTES_MAX,
  ResponseReader,
  type ResponseFailure,
} from '@radishbay/objects/responseReader.js';

import type { UpstreamAgent } from './upstreamAgent.js';
import type { WireCodec } from './wireCodec.js';

/** Connect timeout: many round trips between failure domains. */
const CONNECT_TIMEOUT_MS = 600;

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

/** One call; reports its end or failure exactly once, unless it is cancelled or has a fault. */
export class HttpUpstreamCall implements CallInProgress {
  readonly #call: UpstreamCall;

  readonly #agent: UpstreamAgent;

  readonly #events: CallEvents;

  readonly #request: http.ClientRequest;

  readonly #body: BodyTransfer;

  readonly #reader: ResponseReader;

  #connectTimer: NodeJS.Timeout | undefined;

  readonly #startedAtMs = performance.now();

  #isConnected = false;

  /** Whether the end of the response is being handled; the agent reuses the connection later. */
  #isReportingEnd = false;

  constructor(call: UpstreamCall, codec: WireCodec, agent: UpstreamAgent, events: CallEvents) {
    this.#call = call;
    this.#agent = agent;
    this.#events = events;
    const { method, path, body } = call.request;
    this.#request = http.request({
      ...splitAddress(call.upstream.address),
      method,
      path,
      agent,
      maxHeaderSize: HEAD_BYTES_MAX,
      insecureHTTPParser: false,
      headers: {
        ...codec.writeHeaders(call),
        ...createFramingHeaders(call),
      },
    });
    this.#request.once('socket', (socket) => this.#handleSocket(socket));
    this.#reader = new ResponseReader(this.#request, {
      onHead: (response) => {
        events.onHead(codec.readHead(response, call, this.#request.reusedSocket));
      },
      onData: events.onData,
      onEnd: () => this.#handleEnd(),
      onFailure: (failure) => this.#fail(failure),
      onFault: (error) => this.#handleFault(error),
    });
    this.#request.on('drain', () => this.#body.resume());
    this.#body = body.sendTo({
      write: (data) => this.#request.write(data),
      end: () => this.#request.end(),
    });
  }

  readonly cancel = (): void => {
    // The request may be sent again, and a late copy of this response has the same id.
    if (this.#isReportingEnd) this.#reader.close();
    this.#reader.stop();
    clearTimeout(this.#connectTimer);
    this.#body.stop();
    this.#request.destroy();
  };

  readonly pause = (): void => {
    this.#reader.pause();
  };

  readonly resume = (): void => {
    this.#reader.resume();
  };

  #handleSocket(socket: Socket): void {
    socket.setNoDelay(true);
    if (!socket.connecting) {
      this.#isConnected = true;
      return;
    }
    this.#agent.noteConnection(socket);
    this.#connectTimer = setTimeout(() => {
      this.#reader.fail(`the connection was not established within ${CONNECT_TIMEOUT_MS} ms`);
    }, CONNECT_TIMEOUT_MS);
    socket.once('connect', () => {
      clearTimeout(this.#connectTimer);
      // After a pause of this process, 'connect' may be emitted before an overdue timer runs.
      if (performance.now() - this.#startedAtMs <= CONNECT_TIMEOUT_MS) this.#isConnected = true;
      else this.#reader.fail('the connection was established after the connect timeout');
    });
  }

  #handleEnd(): void {
    this.#abortUnsentBody();
    this.#isReportingEnd = true;
    this.#events.onEnd();
    this.#isReportingEnd = false;
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

  #handleFault(error: Error): void {
    clearTimeout(this.#connectTimer);
    this.#body.stop();
    this.#events.onFault(error);
  }

  #fail({ isEndless, detail }: ResponseFailure): void {
    clearTimeout(this.#connectTimer);
    this.#body.stop();
    this.#agent.destroyIdleSockets(this.#call.upstream.address);
    const lostKind = isEndless ? CallFailureKind.Endless : CallFailureKind.Lost;
    this.#events.onFailure(this.#isConnected ? lostKind : CallFailureKind.NotSent, detail);
  }
}
