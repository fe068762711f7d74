/**
 * HTTP server of the stand-in platform; the protocol is in the README of `@radishbay/objects`.
 *
 * In addition, `POST /faults {kind, ms, count}` injects faults, `GET /counts` returns the number of
 * calls by operation, and `POST /compact` discards the history.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';

import type { Result } from '@radishbay/core/outcome.js';
import { StoreErrorKind, type StoreError } from '@radishbay/core/ports/objectStore.js';

import { readNumber, readString } from '../http/json.js';
import { StandinServer, readBody, readJson, writeError, writeJson } from '../http/standinServer.js';

import { MemoryObjectStore } from './memoryStore.js';
import { StoreFault, type StoreCall } from './storeFault.js';

const OBJECTS_PATH = '/objects/';

/** Upper bound on the timeout that a client can request for a watch. */
const MAX_WATCH_MS = 60_000;

const HTTP_STATUSES: Readonly<Record<Exclude<StoreErrorKind, StoreErrorKind.Unknown>, number>> = {
  [StoreErrorKind.Conflict]: 409,
  [StoreErrorKind.Unavailable]: 503,
  [StoreErrorKind.Throttled]: 429,
  [StoreErrorKind.Compacted]: 410,
  [StoreErrorKind.Invalid]: 400,
};

/** Faults by the kinds that `POST /faults` accepts; `slow` sets only a delay. */
const FAULTS: ReadonlyMap<string, StoreFault> = new Map([
  ['none', StoreFault.None],
  ['slow', StoreFault.None],
  ['down', StoreFault.Unavailable],
  ['throttled', StoreFault.Throttled],
  ['answer-lost', StoreFault.AnswerLost],
  ['request-lost', StoreFault.RequestLost],
  ['late-effect', StoreFault.LateEffect],
  ['silent', StoreFault.Silent],
]);

function readKey(url: URL): string {
  const segments = url.pathname.slice(OBJECTS_PATH.length).split('/');
  return segments.map(decodeURIComponent).join('/');
}

/** @returns the query parameter as an integer, or undefined if it is missing or malformed */
function readWholeNumber(url: URL, name: string): number | undefined {
  const text = url.searchParams.get(name);
  return text !== null && /^\d{1,15}$/u.test(text) ? Number(text) : undefined;
}

function writeStoreError(response: ServerResponse, error: StoreError): void {
  if (error.kind === StoreErrorKind.Unknown) response.destroy();
  else writeError(response, HTTP_STATUSES[error.kind], error.detail);
}

function writeVersion(response: ServerResponse, result: Result<number, StoreError>): void {
  if (result.ok) writeJson(response, 200, { version: result.val });
  else writeStoreError(response, result.val);
}

/** Serves a {@link MemoryObjectStore} over HTTP. */
export class PlatformServer extends StandinServer {
  readonly #store: MemoryObjectStore;

  readonly #counts = new Map<string, number>();

  #fault = StoreFault.None;

  /** Number of further calls that a fault with a count applies to. */
  #remainingFaultCount = 0;

  constructor(store = new MemoryObjectStore('http')) {
    super();
    this.#store = store;
    this.#store.observe((call) => this.#observe(call));
  }

  protected override async handle(
    request: IncomingMessage,
    response: ServerResponse,
    url: URL,
  ): Promise<void> {
    const route = `${request.method} ${url.pathname}`;
    if (url.pathname.startsWith(OBJECTS_PATH)) await this.#handleObject(request, response, url);
    else if (route === 'GET /objects') await this.#handleList(response, url);
    else if (route === 'GET /watch') await this.#handleWatch(response, url);
    else if (route === 'GET /counts') writeJson(response, 200, Object.fromEntries(this.#counts));
    else if (route === 'POST /faults') await this.#handleFault(request, response);
    else if (route === 'POST /compact') this.#handleCompact(response);
    else writeError(response, 404, `no such call: ${route}`);
  }

  async #handleObject(request: IncomingMessage, response: ServerResponse, url: URL): Promise<void> {
    const key = readKey(url);
    if (request.method === 'GET') {
      await this.#handleGet(response, key);
      return;
    }
    const expectedVersion = readWholeNumber(url, 'expectedVersion');
    if (expectedVersion === undefined) {
      writeError(response, 400, 'expectedVersion must be a whole number');
    } else if (request.method === 'PUT') {
      const value: unknown = JSON.parse((await readBody(request)).toString('utf8'));
      writeVersion(response, await this.#store.put(key, value, expectedVersion));
    } else if (request.method === 'DELETE') {
      writeVersion(response, await this.#store.remove(key, expectedVersion));
    } else {
      writeError(response, 405, `objects take GET, PUT and DELETE`);
    }
  }

  async #handleGet(response: ServerResponse, key: string): Promise<void> {
    const result = await this.#store.get(key);
    if (!result.ok) writeStoreError(response, result.val);
    else if (!result.val) writeError(response, 404, `no object ${key}`);
    else writeJson(response, 200, result.val);
  }

  async #handleList(response: ServerResponse, url: URL): Promise<void> {
    const result = await this.#store.list(url.searchParams.get('prefix') ?? '');
    if (result.ok) writeJson(response, 200, result.val);
    else writeStoreError(response, result.val);
  }

  async #handleWatch(response: ServerResponse, url: URL): Promise<void> {
    const after = readWholeNumber(url, 'after');
    const timeoutMs = readWholeNumber(url, 'timeoutMs');
    if (after === undefined || timeoutMs === undefined) {
      writeError(response, 400, 'after and timeoutMs must be whole numbers');
      return;
    }
    const prefix = url.searchParams.get('prefix') ?? '';
    const result = await this.#store.watch(prefix, after, Math.min(timeoutMs, MAX_WATCH_MS));
    if (result.ok) writeJson(response, 200, result.val);
    else writeStoreError(response, result.val);
  }

  /** Sets the fault; one without a count stays active until the next one is set. */
  async #handleFault(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = (await readJson(request)) ?? {};
    const kind = readString(body, 'kind', '');
    const fault = FAULTS.get(kind);
    if (fault === undefined) {
      writeError(response, 400, `kind must be one of ${[...FAULTS.keys()].join(', ')}`);
      return;
    }
    this.#remainingFaultCount = readNumber(body, 'count', 0);
    this.#fault = fault;
    this.#store.delayMs = kind === 'slow' ? readNumber(body, 'ms', 0) : 0;
    this.#store.setFault(this.#remainingFaultCount > 0 ? StoreFault.None : fault);
    writeJson(response, 200, { kind });
  }

  #handleCompact(response: ServerResponse): void {
    this.#store.objects.compact();
    writeJson(response, 200, { revision: this.#store.objects.revision });
  }

  #observe(call: StoreCall): StoreFault | undefined {
    this.#counts.set(call.operation, (this.#counts.get(call.operation) ?? 0) + 1);
    if (this.#remainingFaultCount <= 0) return undefined;
    this.#remainingFaultCount -= 1;
    return this.#fault;
  }
}
