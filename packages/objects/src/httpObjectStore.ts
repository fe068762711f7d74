/**
 * Client of the platform's object API over HTTP. The protocol is described in this package's
 * README.
 */
import { Err, Ok, type Result } from '@radishbay/core/outcome.js';
import {
  ObjectStore,
  type ObjectChange,
  type ObjectList,
  type StoredObject,
  type StoreError,
  type WatchBatch,
} from '@radishbay/core/ports/objectStore.js';

import type { HttpResponse } from './httpCall.js';
import { isJsonObject, parseJsonObject, type JsonObject } from './storeResponse.js';
import {
  createUncertainError,
  createStatusError,
  StoreCaller,
  type StoreCall,
} from './storeCaller.js';

/** Time after the end of a watch's own timeout at which the call fails. */
const WATCH_MARGIN_MS = 1_000;
const MAX_CONNECTIONS = 16;
const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;

export interface HttpObjectStoreOptions {
  /** Base URL of the object API, such as `http://127.0.0.1:7000`. */
  readonly baseUrl: string;
  /** Timeout of all calls except watches. */
  readonly callTimeoutMs: number;
  /** Bearer token, if the platform requires one. */
  readonly token?: string;
}

function parseEntry(value: unknown): ObjectChange | undefined {
  if (!isJsonObject(value)) return undefined;
  const { key, version } = value;
  if (typeof key !== 'string' || typeof version !== 'number') return undefined;
  return { key, version, value: value.value };
}

function parseEntries(value: unknown): readonly ObjectChange[] | undefined {
  if (!Array.isArray(value)) return undefined;
  const entries = value.map(parseEntry);
  const parsed = entries.filter((entry) => entry !== undefined);
  return parsed.length === entries.length ? parsed : undefined;
}

function createErrorFromResponse(call: StoreCall, { status, text }: HttpResponse): StoreError {
  const detail = parseJsonObject(text)?.detail;
  return createStatusError(
    call.method,
    status,
    typeof detail === 'string' ? detail : `status ${status}`,
  );
}

/** Object store that calls the platform's object API over HTTP. */
export class HttpObjectStore extends ObjectStore {
  readonly #baseUrl: string;

  readonly #caller: StoreCaller;

  constructor(options: HttpObjectStoreOptions) {
    super();
    this.#baseUrl = options.baseUrl.replace(/\/+$/u, '');
    const { token, callTimeoutMs } = options;
    this.#caller = new StoreCaller({
      headers: token === undefined ? {} : { authorization: `Bearer ${token}` },
      callTimeoutMs,
      watchMarginMs: WATCH_MARGIN_MS,
      connectionLimit: MAX_CONNECTIONS,
    });
  }

  override async get(key: string): Promise<Result<StoredObject | undefined, StoreError>> {
    const call = { method: 'GET', url: this.#formatKeyUrl(key) };
    const response = await this.#caller.send(call);
    if (response.err) return response;
    if (response.val.status === STATUS_NOT_FOUND) return Ok(undefined);
    if (response.val.status !== STATUS_OK) return Err(createErrorFromResponse(call, response.val));
    const object = parseEntry(parseJsonObject(response.val.text));
    return object ? Ok(object) : Err(createUncertainError(call.method, 'answer is not an object'));
  }

  override async list(prefix: string): Promise<Result<ObjectList, StoreError>> {
    const call = { method: 'GET', url: this.#formatUrl('/objects', { prefix }) };
    const body = await this.#sendForJson(call);
    if (body.err) return body;
    const { revision } = body.val;
    const objects = parseEntries(body.val.objects);
    if (typeof revision !== 'number' || !objects) {
      return Err(createUncertainError(call.method, 'answer is not a list'));
    }
    return Ok({ revision, objects });
  }

  override put(
    key: string,
    value: unknown,
    expectedVersion: number,
  ): Promise<Result<number, StoreError>> {
    const url = this.#formatKeyUrl(key, { expectedVersion: String(expectedVersion) });
    return this.#sendForVersion({ method: 'PUT', url, body: value });
  }

  override remove(key: string, expectedVersion: number): Promise<Result<number, StoreError>> {
    const url = this.#formatKeyUrl(key, { expectedVersion: String(expectedVersion) });
    return this.#sendForVersion({ method: 'DELETE', url });
  }

  override async watch(
    prefix: string,
    afterRevision: number,
    timeoutMs: number,
  ): Promise<Result<WatchBatch, StoreError>> {
    const query = { prefix, after: String(afterRevision), timeoutMs: String(timeoutMs) };
    const call = { method: 'GET', url: this.#formatUrl('/watch', query), waitMs: timeoutMs };
    const body = await this.#sendForJson(call);
    if (body.err) return body;
    const { revision } = body.val;
    const changes = parseEntries(body.val.changes);
    if (typeof revision !== 'number' || !changes) {
      return Err(createUncertainError(call.method, 'answer is not a batch of changes'));
    }
    return Ok({ revision, changes });
  }

  /** Closes all connections; calls in progress fail. */
  close(): void {
    this.#caller.close();
  }

  #formatUrl(path: string, query: Readonly<Record<string, string>> = {}): URL {
    const url = new URL(`${this.#baseUrl}${path}`);
    url.search = new URLSearchParams(query).toString();
    return url;
  }

  #formatKeyUrl(key: string, query: Readonly<Record<string, string>> = {}): URL {
    const path = key.split('/').map(encodeURIComponent).join('/');
    return this.#formatUrl(`/objects/${path}`, query);
  }

  async #sendForJson(call: StoreCall): Promise<Result<JsonObject, StoreError>> {
    const response = await this.#caller.send(call);
    if (response.err) return response;
    if (response.val.status !== STATUS_OK) return Err(createErrorFromResponse(call, response.val));
    const body = parseJsonObject(response.val.text);
    return body ? Ok(body) : Err(createUncertainError(call.method, 'answer is not JSON'));
  }

  async #sendForVersion(call: StoreCall): Promise<Result<number, StoreError>> {
    const body = await this.#sendForJson(call);
    if (body.err) return body;
    const { version } = body.val;
    if (typeof version !== 'number') {
      return Err(createUncertainError(call.method, 'answer names no version'));
    }
    return Ok(version);
  }
}
