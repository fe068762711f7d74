/** A call whose response is observed while it arrives. */
import http from 'node:http';

import { HEAD_BYTES_MAX, ResponseReader } from '@radishbay/objects/responseReader.js';

import type { HarnessCall } from '../fleet/httpCall.js';

/** One call on a connection of its own. */
export class ObservedCall {
  status = 0;

  /** Body that has arrived so far. */
  text = '';

  /** Resolves when the response has ended, to whether it is complete. */
  readonly ended: Promise<boolean>;

  readonly #request: http.ClientRequest;

  constructor({ url, method = 'GET', headers, body }: HarnessCall) {
    const bytes = Buffer.from(body === undefined ? '' : JSON.stringify(body));
    this.#request = http.request(url, {
      method,
      agent: false,
      maxHeaderSize: HEAD_BYTES_MAX,
      headers: { ...headers, 'content-length': String(bytes.length) },
    });
    this.ended = new Promise((resolve) => {
      // eslint-disable-next-line no-new -- it reports by its listeners
      new ResponseReader(this.#request, {
        onHead: ({ statusCode = 0 }) => {
          this.status = statusCode;
        },
        onData: (data) => {
          this.text += data.toString('latin1');
        },
        onEnd: () => resolve(true),
        onFailure: () => resolve(false),
        onFault: () => resolve(false),
      });
    });
    this.#request.end(bytes);
  }

  /** Closes the connection, as a caller does that gives up. */
  leave(): void {
    this.#request.destroy();
  }
}
