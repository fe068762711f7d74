/** A caller of a soak: it keeps its connections open until they break. */
import http from 'node:http';

import { openRequest } from '@radishbay/fleet-platform/standin/callerRequest.js';

import type { SoakEntry } from '../fleet/soakEntry.js';
import type { ObservedResponse, SentRequest } from '../record/observation.js';

/** Connections that one caller has open at a time at most. */
const CONNECTIONS_PER_CALLER_MAX = 8;

export interface CallerRequest {
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly key: string;
  readonly id: string;
  readonly deadlineMs: number;
}

/** A request on its way. */
export interface RequestInProgress {
  readonly response: Promise<ObservedResponse>;
  /** Closes the connection before the answer is whole. */
  readonly abort: () => void;
}

/** One caller with connections to one entry. */
export class SoakCaller {
  #agent = new http.Agent({ keepAlive: true, maxSockets: CONNECTIONS_PER_CALLER_MAX });

  #entry: SoakEntry | undefined;

  /** The entry to which its connections lead; undefined where it has to ask for one. */
  get entry(): SoakEntry | undefined {
    return this.#entry;
  }

  /** Begins to use another entry; open connections serve what they carry. */
  connectTo(entry: SoakEntry): void {
    if (this.#entry === entry) return;
    this.#agent = new http.Agent({ keepAlive: true, maxSockets: CONNECTIONS_PER_CALLER_MAX });
    this.#entry = entry;
  }

  send({ body, ...options }: CallerRequest): RequestInProgress {
    const entry = this.#entry;
    if (!entry) throw new Error('the caller has no entry');
    const { request, answer } = openRequest(entry.callerPort, options.path, {
      ...options,
      address: entry.address,
      agent: this.#agent,
    });
    request.end(options.method === 'GET' ? undefined : body);
    const observed = answer.then(
      (received): ObservedResponse => ({
        ...received,
        detail: received.isWhole ? 'an answer' : 'a cut answer',
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

  /** Turns away from an entry that has broken a connection. */
  handleResponse({ entry }: SentRequest, { isWhole }: ObservedResponse): void {
    if (!isWhole && this.#entry?.name === entry) this.#entry = undefined;
  }

  stop(): void {
    this.#agent.destroy();
  }
}
