/** Fake of an entry's operator interface with canned responses. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

export interface CannedResponse {
  readonly status: number;
  readonly body: unknown;
  /** Bytes that are sent in place of an HTTP response, after which the connection ends. */
  readonly rawText?: string;
}

/** Closes the connection instead of sending a response. */
export const CONNECTION_LOST: CannedResponse = { status: 0, body: undefined };

export interface RecordedCall {
  readonly method: string;
  readonly url: string;
  readonly orderId: string | undefined;
  readonly token: string | undefined;
  readonly body: string;
}

/** Replies to each call with the next canned response and repeats the last one. */
export class FakeEntry {
  readonly calls: RecordedCall[] = [];

  readonly #responses: CannedResponse[];

  readonly #server = createServer((request, response) => {
    this.#respond(request, response);
  });

  constructor(responses: readonly CannedResponse[]) {
    this.#responses = [...responses];
  }

  start(): Promise<string> {
    return new Promise((resolve) => {
      this.#server.listen(0, '127.0.0.1', () => {
        resolve(`http://127.0.0.1:${(this.#server.address() as AddressInfo).port}`);
      });
    });
  }

  stop(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #respond(request: IncomingMessage, response: ServerResponse): void {
    let body = '';
    request.on('data', (chunk: Buffer) => {
      body += chunk.toString('utf8');
    });
    request.on('end', () => {
      const { 'x-order-id': orderId, authorization: token } = request.headers;
      const { method = '', url = '' } = request;
      this.calls.push({ method, url, orderId: orderId as string | undefined, token, body });
      const canned = this.#responses.length > 1 ? this.#responses.shift() : this.#responses[0];
      if (!canned || canned === CONNECTION_LOST) response.destroy();
      else if (canned.rawText !== undefined) request.socket.end(canned.rawText);
      else response.writeHead(canned.status).end(JSON.stringify(canned.body));
    });
  }
}
