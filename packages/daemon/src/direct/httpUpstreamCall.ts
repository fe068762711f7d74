/** One call of an upstream over HTTP/1.1, judged by what its own connection has seen. */
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

/** Longest time to make a connection: many round trips between failure domains. */
const CONNECT_LIMIT_MS = 600;

const METHODS_WITHOUT_BODY = new Set(['GET', 'HEAD', 'DELETE']);

function splitAddress(address: string): { readonly host: string; readonly port: number } {
  const at = address.lastIndexOf(':');
  return { host: address.slice(0, at), port: Number(address.slice(at + 1)) };
}

/** How the body is told to the upstream: by its length, or in chunks where that is not known. */
function writeFraming({ request }: UpstreamCall): Readonly<Record<string, string>> {
  const { lengthBytes } = request.body;
  if (lengthBytes === undefined) return { 'transfer-encoding': 'chunked' };
  const hasBody = lengthBytes > 0 || !METHODS_WITHOUT_BODY.has(request.method);
  return hasBody ? { 'content-length': String(lengthBytes) } : {};
}

/** One call; tells its end or failure exactly once, unless it is cancelled. */
export class HttpUpstreamCall implements CallInProgress {
  readonly #call: UpstreamCall;

  readonly #codec: WireCodec;

  readonly #agent: UpstreamAgent;

  readonly #events: CallEvents;

  readonly #request: http.ClientRequest;

  readonly #body: BodyTransfer;

  #response: http.IncomingMessage | undefined;

  #connectTimer: NodeJS.Timeout | undefined;

  #isSent = false;

  #isDone = false;

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
      headers: {
        ...codec.writeHeaders(call),
        ...writeFraming(call),
      },
    });
    this.#request.once('socket', (socket) => this.#watchConnect(socket));
    this.#request.on('error', (error) => this.#fail(error.message || 'the connection failed'));
    this.#request.on('response', (response) => this.#readResponse(response));
    this.#request.on('drain', () => this.#body.resume());
    this.#body = body.sendTo({
      write: (data) => this.#request.write(data),
      end: () => this.#request.end(),
    });
  }

  readonly cancel = (): void => {
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

  #watchConnect(socket: Socket): void {
    socket.setNoDelay(true);
    if (!socket.connecting) {
      this.#isSent = true;
      return;
    }
    this.#connectTimer = setTimeout(() => {
      this.#fail(`no connection within ${CONNECT_LIMIT_MS} ms`);
      this.#request.destroy();
    }, CONNECT_LIMIT_MS);
    socket.once('connect', () => {
      this.#isSent = true;
      clearTimeout(this.#connectTimer);
    });
  }

  #readResponse(response: http.IncomingMessage): void {
    if (this.#isDone) {
      response.resume();
      return;
    }
    this.#response = response;
    response.on('error', (error) => this.#fail(error.message));
    response.on('close', () => {
      if (!response.complete) this.#fail('the answer was cut off');
    });
    this.#events.onHead(this.#codec.readHead(response, this.#call));
    if (this.#isDone) return;
    response.on('data', (data: Buffer) => {
      if (!this.#isDone) this.#events.onData(data);
    });
    response.on('end', () => this.#finish(response.complete));
  }

  #finish(isWhole: boolean): void {
    if (this.#isDone || !isWhole) return;
    this.#isDone = true;
    this.#stopEarly();
    this.#events.onEnd();
  }

  /** An upstream that has answered before it has the body gets no other bytes in its place. */
  #stopEarly(): void {
    if (this.#request.writableEnded) return;
    this.#body.stop();
    this.#request.destroy();
  }

  #fail(detail: string): void {
    if (this.#isDone) return;
    this.#isDone = true;
    clearTimeout(this.#connectTimer);
    this.#body.stop();
    this.#agent.dropIdle(this.#call.upstream.address);
    this.#events.onFailure(this.#isSent ? CallFailureKind.Lost : CallFailureKind.NotSent, detail);
  }
}
