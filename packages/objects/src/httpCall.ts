/**
 * One HTTP call with a timeout and a limit on the size of the response.
 *
 * A failed call reports whether any byte of the request can have left this process: only then may
 * a write have taken effect.
 */
import {
  request,
  type Agent,
  type ClientRequest,
  type IncomingHttpHeaders,
  type IncomingMessage,
} from 'node:http';
import type { Socket } from 'node:net';

import { NOT_RUN_STATUSES } from '@radishbay/core/model/responseStatus.js';
import { Err, Ok, type Result } from '@radishbay/core/outcome.js';

import { HEAD_BYTES_MAX, ResponseReader } from './responseReader.js';

const DEFAULT_RESPONSE_LIMIT_BYTES = 64 * 1024 * 1024;

/** A request and how to send it. */
export interface HttpCall {
  readonly method: string;
  readonly url: URL;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string | undefined;
  /** Longest time until the whole response has been read. */
  readonly timeoutMs: number;
  /** Size of the body from which the call fails; 64 MiB by default. */
  readonly responseLimitBytes?: number;
  /** Connection pool; `false` opens a connection for this call only. */
  readonly agent: Agent | false;
}

/** A complete response. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly text: string;
}

/** Why there is no complete response. */
export interface HttpFailure {
  /** Whether the connection was established, so that the server may have received the request. */
  readonly isSent: boolean;
  readonly isTimeout: boolean;
  /** Whether the body exceeded its size limit. */
  readonly isTooLarge: boolean;
  readonly detail: string;
}

type CallResult = Result<HttpResponse, HttpFailure>;

/** @returns the request, or why Node does not accept its method, address or headers */
function openRequest({ url, method, headers, agent }: HttpCall): Result<ClientRequest, string> {
  try {
    return Ok(
      request(url, {
        method,
        headers,
        agent,
        maxHeaderSize: HEAD_BYTES_MAX,
        insecureHTTPParser: false,
      }),
    );
  } catch (error) {
    return Err(error instanceof Error ? error.message : String(error));
  }
}

/** A call in progress; reports its result exactly once. */
class CallRun {
  readonly #limitBytes: number;

  readonly #reader: ResponseReader;

  readonly #timer: NodeJS.Timeout;

  readonly #onDone: (result: CallResult) => void;

  readonly #chunks: Buffer[] = [];

  #sizeBytes = 0;

  #head: IncomingMessage | undefined;

  #isSent = false;

  #isTimeout = false;

  #isTooLarge = false;

  constructor(call: HttpCall, clientRequest: ClientRequest, onDone: (result: CallResult) => void) {
    this.#limitBytes = call.responseLimitBytes ?? DEFAULT_RESPONSE_LIMIT_BYTES;
    this.#onDone = onDone;
    clientRequest.once('socket', (socket) => this.#handleSocket(socket));
    this.#reader = new ResponseReader(clientRequest, {
      onHead: (response) => this.#handleHead(response),
      onData: (data) => this.#handleData(data),
      onEnd: () => this.#handleEnd(),
      onFailure: ({ detail }) => this.#handleFailure(detail),
      onFault: (error) => this.#handleFailure(`internal error: ${error.stack ?? error.message}`),
    });
    this.#timer = setTimeout(() => this.#handleTimeout(call.timeoutMs), call.timeoutMs);
    clientRequest.end(call.body);
  }

  #handleSocket(socket: Socket): void {
    this.#isSent = !socket.connecting;
    if (this.#isSent) return;
    socket.once('connect', () => {
      this.#isSent = true;
    });
  }

  #handleHead(response: IncomingMessage): void {
    this.#head = response;
    if (Number(response.headers['content-length']) > this.#limitBytes) this.#failTooLarge();
  }

  #handleData(data: Buffer): void {
    this.#sizeBytes += data.length;
    if (this.#sizeBytes > this.#limitBytes) this.#failTooLarge();
    else this.#chunks.push(data);
  }

  #handleEnd(): void {
    clearTimeout(this.#timer);
    const { statusCode: status = 0, headers = {} } = this.#head ?? {};
    // A copy of an earlier refusal leaves the response to this call on the connection.
    if (NOT_RUN_STATUSES.has(status)) this.#reader.close();
    this.#onDone(Ok({ status, headers, text: Buffer.concat(this.#chunks).toString('utf8') }));
  }

  #handleTimeout(timeoutMs: number): void {
    this.#isTimeout = true;
    this.#reader.fail(`no answer within ${timeoutMs} ms`);
  }

  #failTooLarge(): void {
    this.#chunks.length = 0;
    this.#isTooLarge = true;
    this.#reader.fail(`the answer exceeds ${this.#limitBytes} bytes`);
  }

  #handleFailure(detail: string): void {
    clearTimeout(this.#timer);
    const isSent = this.#isSent;
    this.#onDone(Err({ isSent, isTimeout: this.#isTimeout, isTooLarge: this.#isTooLarge, detail }));
  }
}

/**
 * Sends one request.
 *
 * @returns the complete response with any status, or why there is none
 */
export function sendCall(call: HttpCall): Promise<CallResult> {
  return new Promise((resolve) => {
    const opened = openRequest(call);
    if (opened.ok) {
      // eslint-disable-next-line no-new -- the call starts by its construction
      new CallRun(call, opened.val, resolve);
    } else {
      resolve(Err({ isSent: false, isTimeout: false, isTooLarge: false, detail: opened.val }));
    }
  });
}
