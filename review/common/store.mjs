/** Stand-in for the platform's metadata store, after PROTOCOL.md. */
import http from 'node:http';

import { listen, readBody, wait } from './net.mjs';

const PAGE_SIZE = 500;

/** Usual time of an answer, in milliseconds. */
const ANSWER_MS = 4;

function copyObjects(objects) {
  return new Map([...objects].map(([key, object]) => [key, structuredClone(object)]));
}

export class Store {
  #objects = new Map();

  #changes = [];

  #revision = 100;

  #era = 1;

  #watches = new Set();

  #isAway = false;

  #server = http.createServer((message, response) => this.#serve(message, response));

  /** Changes what an entry writes, as a proxy between entries needs it. */
  translate;

  async start() {
    this.address = `127.0.0.1:${await listen(this.#server)}`;
  }

  stop() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  get revision() {
    return this.#revision;
  }

  /** Writes an object; a write that changes nothing is no change. */
  put(kind, name, spec) {
    const key = `${kind}/${name}`;
    const known = this.#objects.get(key);
    if (known && JSON.stringify(known.spec) === JSON.stringify(spec)) return known;
    this.#revision += 1;
    const created = known?.metadata.created ?? Date.now();
    const object = { metadata: { name, revision: this.#revision, created }, spec, status: {} };
    this.#objects.set(key, object);
    this.#record({ kind, object, deleted: false });
    return object;
  }

  remove(kind, name) {
    const key = `${kind}/${name}`;
    const known = this.#objects.get(key);
    if (!known) return;
    this.#objects.delete(key);
    this.#revision += 1;
    const object = { ...known, metadata: { ...known.metadata, revision: this.#revision } };
    this.#record({ kind, object, deleted: true });
  }

  /** Takes the copy from which the store may come back. */
  copy() {
    const { length } = this.#changes;
    return { objects: copyObjects(this.#objects), revision: this.#revision, length };
  }

  /** Calls are no longer answered, those in progress never. */
  goAway() {
    this.#isAway = true;
    this.#watches.forEach(({ timer }) => clearTimeout(timer));
    this.#watches.clear();
  }

  /** Serves again, from an older copy. */
  comeBack({ objects, revision, length }) {
    this.#objects = copyObjects(objects);
    this.#revision = revision;
    this.#changes.length = length;
    this.#era += 1;
    this.#isAway = false;
  }

  #record(change) {
    this.#changes.push({ ...change, revision: this.#revision });
    this.#watches.forEach((watch) => this.#answerWatch(watch, false));
  }

  async #serve(message, response) {
    const body = await readBody(message);
    const url = new URL(message.url, 'http://store');
    const [, , kind = '', name] = url.pathname.split('/').map(decodeURIComponent);
    await wait(ANSWER_MS);
    const watch = url.searchParams.get('watch');
    if (this.#isAway) return;
    if (message.method !== 'GET') this.#write({ message, response, kind, name, body, url });
    else if (name !== undefined) this.#get(response, `${kind}/${name}`);
    else if (watch !== null) this.#watch(response, kind, url.searchParams);
    else this.#list(response, kind, url.searchParams.get('after') ?? '');
  }

  #send(response, status, body) {
    response.writeHead(status, {
      'content-type': 'application/json',
      'store-era': String(this.#era),
    });
    response.end(JSON.stringify(body));
  }

  #get(response, key) {
    const object = this.#objects.get(key);
    this.#send(response, object ? 200 : 404, object ?? {});
  }

  #list(response, kind, after) {
    const items = [...this.#objects]
      .filter(([key, { metadata }]) => key.startsWith(`${kind}/`) && metadata.name > after)
      .map(([, object]) => object)
      .sort((a, b) => (a.metadata.name < b.metadata.name ? -1 : 1));
    this.#send(response, 200, {
      items: items.slice(0, PAGE_SIZE),
      has_more: items.length > PAGE_SIZE,
      current_rev: this.#revision,
    });
  }

  #watch(response, kind, query) {
    const after = Number(query.get('watch'));
    if (after > this.#revision) {
      this.#send(response, 410, {});
      return;
    }
    const watch = { kind, after, response };
    watch.timer = setTimeout(() => this.#answerWatch(watch, true), Number(query.get('wait_ms')));
    this.#watches.add(watch);
    this.#answerWatch(watch, false);
  }

  #answerWatch(watch, isOver) {
    const { kind, after, response, timer } = watch;
    const events = this.#changes
      .filter((change) => change.kind === kind && change.revision > after)
      .map(({ object, deleted }) => ({ object, deleted }));
    if (events.length === 0 && !isOver) return;
    clearTimeout(timer);
    if (!this.#watches.delete(watch)) return;
    this.#send(response, 200, { events, current_rev: this.#revision });
  }

  #write({ message, response, kind, name, body, url }) {
    const { metadata = {}, spec } = JSON.parse(body || '{}');
    const key = `${kind}/${name ?? metadata.name}`;
    const known = this.#objects.get(key);
    const expected = metadata.revision ?? Number(url.searchParams.get('revision') ?? NaN);
    const isStale = !Number.isNaN(expected) && known?.metadata.revision !== expected;
    if (message.method === 'POST' ? known : isStale) {
      this.#send(response, 409, known ?? {});
      return;
    }
    if (message.method === 'DELETE') {
      this.remove(kind, name);
      this.#send(response, 200, {});
      return;
    }
    this.#send(
      response,
      200,
      this.put(kind, name ?? metadata.name, this.translate?.(spec) ?? spec),
    );
  }
}
