/** An entry's operator interface with canned answers, for tests. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

export interface Canned {
  readonly status: number;
  readonly body: unknown;
}

/** An answer that never comes: the connection breaks instead. */
export const LOST: Canned = { status: 0, body: undefined };

export interface SeenCall {
  readonly method: string;
  readonly url: string;
  readonly orderId: string | undefined;
  readonly token: string | undefined;
  readonly body: string;
}

/** Answers each call with the next of its answers; the last one stays. */
export class FakeEntry {
  readonly calls: SeenCall[] = [];

  readonly #answers: Canned[];

  readonly #server = createServer((request, response) => {
    this.#answer(request, response);
  });

  constructor(answers: readonly Canned[]) {
    this.#answers = [...answers];
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

  #answer(request: IncomingMessage, response: ServerResponse): void {
    let body = '';
    request.on('data', (chunk: Buffer) => {
      body += chunk.toString('utf8');
    });
    request.on('end', () => {
      const { 'x-order-id': orderId, authorization: token } = request.headers;
      const { method = '', url = '' } = request;
      this.calls.push({ method, url, orderId: orderId as string | undefined, token, body });
      const canned = this.#answers.length > 1 ? this.#answers.shift() : this.#answers[0];
      if (!canned || canned === LOST) response.destroy();
      else response.writeHead(canned.status).end(JSON.stringify(canned.body));
    });
  }
}
