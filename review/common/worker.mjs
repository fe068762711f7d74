/** Stand-in for a worker, after PROTOCOL.md. */
import http from 'node:http';

import { listen, readBody } from './net.mjs';

export class Worker {
  #server = http.createServer((message, response) => this.#serve(message, response));

  /** Handles a request; `respond` adds the id, the seal and the load to an answer's headers. */
  onRequest;

  constructor({ id, service, zone, slots, onRequest }) {
    Object.assign(this, { id, service, zone, slots, onRequest, running: 0, born: Date.now() });
    this.#server.keepAliveTimeout = 20_000;
  }

  async start() {
    this.port = await listen(this.#server);
  }

  stop() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Its entry in the store. */
  get entry() {
    const { service, zone, slots, born } = this;
    const address = `127.0.0.1:${this.port}`;
    return { service, address, zone, version: 'v1', slots, state: 'ready', cold_left_ms: 0, born };
  }

  /** Headers of an answer to the request. */
  createHeaders(request, extra = {}) {
    return {
      'X-Radishbay-Attempt-Id': request.id,
      'X-Radishbay-Server-Seal': `${this.id}.seal.${request.id}`,
      'X-Radishbay-Instance-Load': `${this.running},0,${this.slots}`,
      ...extra,
    };
  }

  async #serve(message, response) {
    const body = await readBody(message);
    const { method, url, headers } = message;
    if (url === '/healthz') {
      response.writeHead(200, { 'X-Radishbay-Instance-Id': this.id });
      response.end();
      return;
    }
    const id = headers['x-radishbay-attempt-id'];
    const expected = headers['x-radishbay-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { 'X-Radishbay-Not-Executed': '1' });
      response.end();
      return;
    }
    if (id === undefined) {
      response.writeHead(url === '/report' || url.startsWith('/picked') ? 404 : 400);
      response.end();
      return;
    }
    this.running += 1;
    response.once('close', () => {
      this.running -= 1;
    });
    this.onRequest({ worker: this, id, method, url, headers, body }, response);
  }
}
