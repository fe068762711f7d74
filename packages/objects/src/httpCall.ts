/**
 * One HTTP call with a bound on its time and on the size of its answer.
 *
 * A failed call says whether any byte of it can have left this process: only then may a write have
 * taken effect.
 */
import { request, type Agent, type IncomingHttpHeaders, type IncomingMessage } from 'node:http';

import { Err, Ok, type Result } from '@radishbay/core/outcome.js';

const MAX_ANSWER_BYTES = 64 * 1024 * 1024;

export interface HttpCall {
  readonly method: string;
  readonly url: URL;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string | undefined;
  readonly timeoutMs: number;
  /** `false` opens a connection for this call alone. */
  readonly agent: Agent | false;
}

export interface HttpAnswer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly text: string;
}

export interface HttpFailure {
  /** Whether the connection was up, so that the request may have arrived. */
  readonly isSent: boolean;
  readonly isTimeout: boolean;
  readonly detail: string;
}

class AnswerTimeoutError extends Error {}

function readAnswer(
  response: IncomingMessage,
  onWhole: (answer: HttpAnswer) => void,
  onBroken: (error: Error) => void,
): void {
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  response.on('data', (chunk: Buffer) => {
    sizeBytes += chunk.length;
    if (sizeBytes > MAX_ANSWER_BYTES) response.destroy(new Error('answer is too large'));
    else chunks.push(chunk);
  });
  response.on('end', () => {
    if (!response.complete) return;
    const text = Buffer.concat(chunks).toString('utf8');
    onWhole({ status: response.statusCode ?? 0, headers: response.headers, text });
  });
  response.on('error', onBroken);
  response.on('close', () => {
    if (!response.complete) onBroken(new Error('answer broke off'));
  });
}

/**
 * Makes one call.
 *
 * @returns the whole answer whatever its status, or how the call failed
 */
export function sendCall(call: HttpCall): Promise<Result<HttpAnswer, HttpFailure>> {
  return new Promise((resolve) => {
    let isSent = false;
    const { method, headers, agent } = call;
    const outgoing = request(call.url, { method, headers, agent });
    const timer = setTimeout(() => {
      outgoing.destroy(new AnswerTimeoutError(`no answer within ${call.timeoutMs} ms`));
    }, call.timeoutMs);

    const fail = (error: Error): void => {
      clearTimeout(timer);
      const isTimeout = error instanceof AnswerTimeoutError;
      resolve(Err({ isSent, isTimeout, detail: error.message || 'connection failed' }));
    };
    const succeed = (answer: HttpAnswer): void => {
      clearTimeout(timer);
      resolve(Ok(answer));
    };

    outgoing.on('socket', (socket) => {
      if (!socket.connecting) {
        isSent = true;
        return;
      }
      socket.once('connect', () => {
        isSent = true;
      });
    });
    outgoing.on('error', fail);
    outgoing.on('response', (response) => {
      readAnswer(response, succeed, fail);
    });
    outgoing.end(call.body);
  });
}
