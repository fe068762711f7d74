/** Stand-in for a consumer, after PROTOCOL.md. */
import { randomBytes } from 'node:crypto';
import http from 'node:http';

import { HOST, KEY } from './config.mjs';

/** Creates the id of a consumer attempt. */
export function createId() {
  return randomBytes(8).toString('hex');
}

/**
 * Sends a request and reads its answer.
 *
 * @returns status, headers and body; `isComplete` tells whether HTTP shows the answer as complete
 */
export function send(entry, options) {
  const { path, method = 'POST', id = createId(), key = KEY, deadlineMs = 8000 } = options;
  const { headers, body = method === 'GET' ? undefined : '{}', onData = () => {} } = options;
  const answer = { id, status: 0, headers: {}, body: '', isComplete: false, error: '' };
  return new Promise((resolve) => {
    const request = http.request({
      host: entry.address,
      port: entry.port,
      path,
      method,
      agent: options.agent ?? false,
      headers: {
        host: HOST,
        'x-radishbay-attempt-id': id,
        'x-radishbay-deadline-ms': String(deadlineMs),
        authorization: `Bearer ${key}`,
        ...(body === undefined ? {} : { 'content-length': Buffer.byteLength(body) }),
        ...headers,
      },
    });
    const timer = setTimeout(() => request.destroy(new Error('time limit')), deadlineMs);
    const finish = (error) => {
      clearTimeout(timer);
      answer.error ||= error?.message ?? '';
      resolve(answer);
    };
    request.on('error', finish);
    request.on('response', (response) => {
      answer.status = response.statusCode;
      answer.headers = response.headers;
      response.on('data', (data) => {
        answer.body += data.toString('latin1');
        onData(answer, response);
      });
      response.on('error', (error) => {
        answer.error = error.message;
      });
      response.on('close', () => {
        answer.isComplete = response.complete && answer.error === '';
        finish();
      });
    });
    request.end(body);
  });
}
