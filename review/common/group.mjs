/** Stand-in for a group of model workers whose ranks run passes together, after PROTOCOL.md. */
import http from 'node:http';

import { GROUP_ENGINE, MODELS, ZONES } from './config.mjs';
import { listen, readBody } from './net.mjs';
import { Rank } from './rank.mjs';

/** Ranks of a group on the site. */
const RANKS = 12;

/** Time of a pass, in milliseconds. */
const PASS_MS = 60;

/** Age of what a rank reports, at most, in milliseconds. */
const REPORT_LAG_MS = 200;

/** Events of a stream; a pass makes one. */
const EVENTS = 28;

/** Bounds of the time after which a late order is carried out, in milliseconds. */
const LATE_MIN_MS = 2_000;
const LATE_MAX_MS = 12_000;

function createEvent(id) {
  return `id: ${id}\ndata: ${`event ${id} `.padEnd(58, '.')}\n\n`;
}

/** Runs a stream on a rank: one event a pass. */
function startStream(rank, headers, response) {
  const id = headers['x-radishbay-attempt-id'];
  let event = Number(headers['last-event-id'] ?? 0);
  response.writeHead(200, {
    'content-type': 'text/event-stream',
    'X-Radishbay-Attempt-Id': id,
    'X-Radishbay-Server-Seal': `${rank.id}.seal.${id}`,
  });
  const emit = () => {
    event += 1;
    response.write(createEvent(event));
    if (event < EVENTS) return;
    rank.streams.delete(emit);
    response.end();
  };
  rank.streams.add(emit);
  response.once('close', () => rank.streams.delete(emit));
}

function isSameMap(one, other) {
  return one.map === other.map && JSON.stringify(one.content) === JSON.stringify(other.content);
}

export class Group {
  #ranks = Array.from({ length: RANKS }, (_, rank) => new Rank(rank, RANKS));

  #servers = [];

  /** What each rank reports, as of some moments ago. */
  #reports = new Map();

  /** Copies of answers, by the connection on which they will be sent once more. */
  #copies = new WeakMap();

  #step = 0;

  #timers = [];

  #favourite = 0;

  #lateShare = 0;

  #copyShare = 0;

  #copyRanks = new Set();

  /** Passes that began while two ranks had different maps. */
  violations = [];

  switches = 0;

  constructor(record) {
    this.record = record;
  }

  async start(store) {
    const born = Date.now();
    await Promise.all(this.#ranks.map((rank) => this.#startRank(rank, store, born)));
    this.#timers.push(setInterval(() => this.#pass(), PASS_MS));
  }

  stop() {
    this.#timers.forEach((timer) => clearInterval(timer));
    this.#servers.forEach((server) => {
      server.close();
      server.closeAllConnections();
    });
  }

  /** Makes an expert the most popular one. */
  favour(expert) {
    this.#favourite = expert;
  }

  /** Leaves a share of the orders unanswered; they are carried out late. */
  delayOrders(share) {
    this.#lateShare = share;
  }

  /** Sends a share of the answers of some ranks a second time, before the next answer. */
  repeatAnswers(share, rankShare) {
    const shuffled = [...this.#ranks].sort(() => Math.random() - 0.5);
    this.#copyShare = share;
    this.#copyRanks = new Set(shuffled.slice(0, Math.floor(RANKS * rankShare)));
  }

  async #startRank(rank, store, born) {
    const server = http.createServer((message, response) => this.#serve(rank, message, response));
    server.keepAliveTimeout = 20_000;
    this.#servers.push(server);
    store.put('servers', rank.id, {
      service: MODELS,
      address: `127.0.0.1:${await listen(server)}`,
      zone: ZONES[rank.rank % ZONES.length],
      version: 'v1',
      slots: GROUP_ENGINE.slots,
      state: 'ready',
      cold_left_ms: 0,
      born,
    });
    const report = () => this.#reports.set(rank, rank.createReport(this.#step));
    report();
    this.#timers.push(setInterval(report, REPORT_LAG_MS));
  }

  /** Begins a pass, unless the group is idle or a rank holds the pass. */
  #pass() {
    const next = this.#step + 1;
    const isIdle = this.#ranks.every(({ streams }) => streams.size === 0);
    if (isIdle || this.#ranks.some(({ held }) => held === next)) return;
    this.#step = next;
    const before = this.#ranks.map(({ map }) => map).join();
    this.#ranks.forEach((rank) => rank.beginPass(next));
    if (this.#ranks.map(({ map }) => map).join() !== before) this.switches += 1;
    this.#checkMaps(next);
    this.#ranks.forEach((rank) => rank.work(this.#favourite));
  }

  #checkMaps(step) {
    const [first] = this.#ranks;
    if (this.#ranks.every((rank) => isSameMap(rank, first))) return;
    this.violations.push(step);
    if (this.violations.length > 1) return;
    const maps = this.#ranks.map((rank) => {
      const isOther = rank.map === first.map && !isSameMap(rank, first);
      return `${rank.id} version ${rank.map}${isOther ? ', of other content' : ''}`;
    });
    this.record.write(`pass ${step} begins with different maps: ${maps.join('; ')}`);
  }

  async #serve(rank, message, response) {
    const { socket, method, url, headers } = message;
    this.#sendCopy(rank, socket, `${method} ${url}`);
    const body = await readBody(message);
    const expected = headers['x-radishbay-expect-instance'];
    const answers = {
      '/report': () => this.#reports.get(rank),
      '/picked': () => rank.createCounts(this.#step),
      '/picked?lists=1': () => rank.createLists(),
    };
    if (expected !== undefined && expected !== rank.id) {
      response.writeHead(421, { 'X-Radishbay-Not-Executed': '1' }).end();
    } else if (answers[url]) this.#answer(rank, response, 200, answers[url]());
    else if (url === '/order') this.#handleOrder(rank, response, JSON.parse(body));
    else if (headers['x-radishbay-attempt-id']) {
      this.record.write(`${rank.id} runs ${headers['x-radishbay-attempt-id']}`);
      startStream(rank, headers, response);
    } else response.writeHead(url === '/healthz' ? 200 : 400).end();
  }

  /** Sends the copy of an earlier answer at the point where the next answer is expected. */
  #sendCopy(rank, socket, call) {
    const copy = this.#copies.get(socket);
    if (!copy) return;
    this.#copies.delete(socket);
    this.record.write(`${rank.id} sends its last answer again, before that to ${call}`);
    socket.write(copy);
  }

  /** Answers a call about the group. */
  #answer(rank, response, status, value) {
    const body = JSON.stringify(value);
    const fields = {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
    };
    response.writeHead(status, fields).end(body);
    if (!this.#copyRanks.has(rank) || Math.random() >= this.#copyShare) return;
    const lines = Object.entries(fields).map(([name, field]) => `${name}: ${field}`);
    const head = `HTTP/1.1 ${status} ${http.STATUS_CODES[status]}`;
    this.#copies.set(response.req.socket, [head, ...lines, '', body].join('\r\n'));
  }

  #handleOrder(rank, response, order) {
    const { op, version = '', step = '' } = order;
    const name = `${op} ${version} ${step}`.trim();
    if (Math.random() < this.#lateShare) {
      const delayMs = LATE_MIN_MS + Math.random() * (LATE_MAX_MS - LATE_MIN_MS);
      this.record.write(`${rank.id} leaves ${name} unanswered for ${Math.round(delayMs)} ms`);
      setTimeout(() => rank.execute(order, this.#step), delayMs);
      return;
    }
    const status = rank.execute(order, this.#step);
    this.record.write(`${rank.id} answers ${name} with ${status}`);
    this.#answer(rank, response, status, {});
  }
}
