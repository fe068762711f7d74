/** A caller that keeps its connections open until they break. */
import http from 'node:http';

import { openRequest } from '@radishbay/fleet-platform/standin/callerRequest.js';

import type { SoakEntry } from '../fleet/soakEntry.js';
import type { ObservedResponse, SentRequest } from '../record/observation.js';

/** Maximum number of open connections per caller. */
const CONNECTIONS_PER_CALLER_MAX = 8;

export interface CallerRequest {
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly key: string;
  readonly id: string;
  readonly deadlineMs: number;
}

/** A request in progress. */
export interface RequestInProgress {
  readonly response: Promise<ObservedResponse>;
  /** Closes the connection before the response is complete. */
  readonly abort: () => void;
}

/** One caller with connections to one entry. */
export class SoakCaller {
  #agent = new http.Agent({ keepAlive: true, maxSockets: CONNECTIONS_PER_CALLER_MAX });

  #entry: SoakEntry | undefined;

  /** The entry that the caller is connected to; undefined if it needs a new one. */
  get entry(): SoakEntry | undefined {
    return this.#entry;
  }

  /** Sends later requests to another entry; requests in progress keep their connections. */
  connectTo(entry: SoakEntry): void {
    if (this.#entry === entry) return;
    this.#agent = new http.Agent({ keepAlive: true, maxSockets: CONNECTIONS_PER_CALLER_MAX });
    this.#entry = entry;
  }

  send({ body, ...options }: CallerRequest): RequestInProgress {
    const entry = this.#entry;
    if (!entry) throw new Error('cannot send a request: the caller is not connected to an entry');
    const { request, answer } = openRequest(entry.callerPort, options.path, {
      ...options,
      address: entry.address,
      agent: this.#agent,
    });
    request.end(options.method === 'GET' ? undefined : body);
    const observed = answer.then(
      (received): ObservedResponse => ({
        ...received,
        detail: received.isWhole ? 'a complete response' : 'an incomplete response',
        endedAtMs: performance.now(),
      }),
      (error: NodeJS.ErrnoException): ObservedResponse => ({
        status: 0,
        body: '',
        isWhole: false,
        seal: undefined,
        detail: error.code ?? error.message,
        endedAtMs: performance.now(),
      }),
    );
    return { response: observed, abort: () => request.destroy() };
  }

  /** Drops the entry if it broke the connection of the request. */
  handleResponse({ entry }: SentRequest, { isWhole }: ObservedResponse): void {
    if (!isWhole && this.#entry?.name === entry) this.#entry = undefined;
  }

  stop(): void {
    this.#agent.destroy();
  }
}
