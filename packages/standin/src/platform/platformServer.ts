/**
 * The stand-in platform over HTTP, by the protocol in the README of `@radishbay/objects`.
 *
 * Besides it answers `POST /faults {kind, ms, count}`, `GET /counts` and `POST /compact`.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';

import type { Result } from '@radishbay/core/outcome.js';
import { StoreErrorKind, type StoreError } from '@radishbay/core/ports/objectStore.js';

import { readNumber, readString } from '../http/json.js';
import { StandinServer, readBody, readJson, writeError, writeJson } from '../http/standinServer.js';

import { MemoryObjectStore } from './memoryStore.js';
import { StoreFault, type StoreCall } from './storeFault.js';

const OBJECTS_PATH = '/objects/';

/** Most that a watch is held, whatever the client asks. */
const MAX_WATCH_MS = 60_000;

const STATUSES: Readonly<Record<Exclude<StoreErrorKind, StoreErrorKind.Unknown>, number>> = {
  [StoreErrorKind.Conflict]: 409,
  [StoreErrorKind.Unavailable]: 503,
  [StoreErrorKind.Throttled]: 429,
  [StoreErrorKind.Compacted]: 410,
  [StoreErrorKind.Invalid]: 400,
};

/** Faults by the names that `POST /faults` takes. */
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

/** @returns the whole number under a name, or undefined where it is missing or malformed */
function readWholeNumber(url: URL, name: string): number | undefined {
  const text = url.searchParams.get(name);
  return text !== null && /^\d{1,15}$/u.test(text) ? Number(text) : undefined;
}

function writeFailure(response: ServerResponse, error: StoreError): void {
  if (error.kind === StoreErrorKind.Unknown) response.destroy();
  else writeError(response, STATUSES[error.kind], error.detail);
}

function writeVersion(response: ServerResponse, result: Result<number, StoreError>): void {
  if (result.ok) writeJson(response, 200, { version: result.val });
  else writeFailure(response, result.val);
}

/** Serves a {@link MemoryObjectStore}. */
export class PlatformServer extends StandinServer {
  readonly #store: MemoryObjectStore;

  readonly #counts = new Map<string, number>();

  #fault = StoreFault.None;

  /** Calls that the fault still holds for. */
  #faultCount = 0;

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
    if (!result.ok) writeFailure(response, result.val);
    else if (!result.val) writeError(response, 404, `no object ${key}`);
    else writeJson(response, 200, result.val);
  }

  async #handleList(response: ServerResponse, url: URL): Promise<void> {
    const result = await this.#store.list(url.searchParams.get('prefix') ?? '');
    if (result.ok) writeJson(response, 200, result.val);
    else writeFailure(response, result.val);
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
    else writeFailure(response, result.val);
  }

  /** A fault without a count holds until the next one is set. */
  async #handleFault(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = (await readJson(request)) ?? {};
    const kind = readString(body, 'kind', '');
    const fault = FAULTS.get(kind);
    if (fault === undefined) {
      writeError(response, 400, `kind must be one of ${[...FAULTS.keys()].join(', ')}`);
      return;
    }
    this.#faultCount = readNumber(body, 'count', 0);
    this.#fault = fault;
    this.#store.delayMs = kind === 'slow' ? readNumber(body, 'ms', 0) : 0;
    this.#store.setFault(this.#faultCount > 0 ? StoreFault.None : fault);
    writeJson(response, 200, { kind });
  }

  #handleCompact(response: ServerResponse): void {
    this.#store.objects.compact();
    writeJson(response, 200, { revision: this.#store.objects.revision });
  }

  #observe(call: StoreCall): StoreFault | undefined {
    this.#counts.set(call.operation, (this.#counts.get(call.operation) ?? 0) + 1);
    if (this.#faultCount <= 0) return undefined;
    this.#faultCount -= 1;
    return this.#fault;
  }
}
