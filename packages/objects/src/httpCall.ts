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

import { Err, Ok, type Result } from '@radishbay/core/outcome.js';

const DEFAULT_RESPONSE_LIMIT_BYTES = 64 * 1024 * 1024;

/** Maximum number of informational (1xx) responses before the final response. */
const INFORMATIONAL_MAX = 16;

/** Lowest status of a final response. */
const STATUS_FINAL_MIN = 200;

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

enum Limit {
  Time,
  Size,
}

class LimitError extends Error {
  readonly limit: Limit;

  constructor(limit: Limit, message: string) {
    super(message);
    this.limit = limit;
  }
}

function readResponse(
  response: IncomingMessage,
  limitBytes: number,
  onComplete: (response: HttpResponse) => void,
  onError: (error: Error) => void,
): void {
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  const failTooLarge = (): void => {
    chunks.length = 0;
    response.destroy(new LimitError(Limit.Size, `the answer exceeds ${limitBytes} bytes`));
  };
  response.on('data', (chunk: Buffer) => {
    sizeBytes += chunk.length;
    if (sizeBytes <= limitBytes) chunks.push(chunk);
    else failTooLarge();
  });
  response.on('end', () => {
    if (!response.complete) return;
    const text = Buffer.concat(chunks).toString('utf8');
    onComplete({ status: response.statusCode ?? 0, headers: response.headers, text });
  });
  response.on('error', onError);
  response.on('close', () => {
    if (!response.complete) onError(new Error('answer broke off'));
  });
  if (Number(response.headers['content-length']) > limitBytes) failTooLarge();
}

/** @returns the request, or why Node does not accept its method, address or headers */
function openRequest({ url, method, headers, agent }: HttpCall): Result<ClientRequest, string> {
  try {
    return Ok(request(url, { method, headers, agent }));
  } catch (error) {
    return Err(error instanceof Error ? error.message : String(error));
  }
}

/**
 * Sends one request.
 *
 * @returns the complete response with any status, or why there is none
 */
export function sendCall(call: HttpCall): Promise<Result<HttpResponse, HttpFailure>> {
  return new Promise((resolve) => {
    let isSent = false;
    const opened = openRequest(call);
    if (opened.err) {
      resolve(Err({ isSent, isTimeout: false, isTooLarge: false, detail: opened.val }));
      return;
    }
    const clientRequest = opened.val;
    let hasResponse = false;
    let timer: NodeJS.Timeout | undefined;
    const fail = (error: Error): void => {
      clearTimeout(timer);
      const limit = error instanceof LimitError ? error.limit : undefined;
      resolve(
        Err({
          isSent,
          isTimeout: limit === Limit.Time,
          isTooLarge: limit === Limit.Size,
          detail: error.message || 'connection failed',
        }),
      );
    };
    timer = setTimeout(() => {
      const error = new LimitError(Limit.Time, `no answer within ${call.timeoutMs} ms`);
      fail(error);
      clientRequest.destroy(error);
    }, call.timeoutMs);
    const succeed = (response: HttpResponse): void => {
      clearTimeout(timer);
      resolve(Ok(response));
    };

    clientRequest.on('socket', (socket) => {
      if (!socket.connecting) {
        isSent = true;
        return;
      }
      socket.once('connect', () => {
        isSent = true;
      });
    });
    clientRequest.on('error', fail);
    // A request that Node destroys after a 101 response emits neither a response nor an error.
    clientRequest.on('close', () => {
      if (!hasResponse) fail(new Error('the connection closed without a response'));
    });
    let informationalCount = 0;
    clientRequest.on('information', () => {
      informationalCount += 1;
      if (informationalCount <= INFORMATIONAL_MAX) return;
      clientRequest.removeAllListeners('information');
      clientRequest.destroy(new Error(`more than ${INFORMATIONAL_MAX} informational responses`));
    });
    clientRequest.on('response', (response) => {
      hasResponse = true;
      // Node takes a 101 without an Upgrade header for a complete response.
      if ((response.statusCode ?? 0) < STATUS_FINAL_MIN) {
        clientRequest.destroy(new Error('the server switched protocols'));
        return;
      }
      readResponse(
        response,
        call.responseLimitBytes ?? DEFAULT_RESPONSE_LIMIT_BYTES,
        succeed,
        fail,
      );
    });
    clientRequest.end(call.body);
  });
}
