/** Guards against callers that use up the connections of an entry, or its memory by heads. */
import { EventEmitter } from 'node:events';
import type http from 'node:http';
import type { Socket } from 'node:net';

import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { Awaited, type MemoryAccount } from '@radishbay/core/memory/memoryAccount.js';
import { RefusalReason } from '@radishbay/core/model/reason.js';

import {
  CloseReason,
  ConnectionTable,
  type ConnectionLimits,
} from '../src/callers/connectionTable.js';

const IDLE_TIMEOUT_MS = 10_000;

const LIMITS: ConnectionLimits = {
  connections: 3,
  connectionsPerAddress: Infinity,
  requests: 2,
  requestsPerAddress: Infinity,
  headBytes: 1_000,
  bodyIdleMs: 10_000,
  answerIdleMs: 10_000,
};

/** A connection whose received bytes the test sets. */
class FakeSocket extends EventEmitter {
  bytesRead = 0;

  isOpen = true;

  readonly remoteAddress: string;

  constructor(remoteAddress = '10.0.0.1') {
    super();
    this.remoteAddress = remoteAddress;
  }

  destroy(): void {
    this.isOpen = false;
    this.emit('close');
  }
}

interface Context {
  nowMs: number;
  closed: CloseReason[];
  create: (limits?: Partial<ConnectionLimits>, getAvailable?: () => number) => ConnectionTable;
}

const test = suite<Context>('connection table');

test.before.each((context) => {
  context.nowMs = 0;
  context.closed = [];
  context.create = (limits = {}, getAvailable = () => Infinity) =>
    new ConnectionTable({
      limits: { ...LIMITS, ...limits },
      getNowMs: () => context.nowMs,
      getIdleTimeoutMs: () => IDLE_TIMEOUT_MS,
      getAvailable,
      onClose: (reason) => context.closed.push(reason),
    });
});

function open(table: ConnectionTable, address?: string): FakeSocket {
  const socket = new FakeSocket(address);
  table.add(socket as unknown as Socket);
  return socket;
}

function begin(table: ConnectionTable, socket: FakeSocket, complete = true): boolean {
  return table.beginRequest({ socket, complete } as unknown as http.IncomingMessage);
}

function end(table: ConnectionTable, socket: FakeSocket): void {
  table.endRequest(socket as unknown as Socket);
}

test('at the limit the connection that has waited longest for its head closes', (context) => {
  const table = context.create();
  const [first, second] = [open(table), open(table)];
  context.nowMs = 1_000;
  const third = open(table);
  const fourth = open(table);
  assert.equal(
    [first, second, third, fourth].map(({ isOpen }) => isOpen),
    [false, true, true, true],
  );
  assert.is(table.connectionCount, 3);
  assert.equal(context.closed, [CloseReason.ConnectionLimit]);
});

test('a connection that its caller may still reuse stays open, and the new one closes', (context) => {
  const table = context.create({ connections: 1 });
  const first = open(table);
  begin(table, first);
  end(table, first);
  context.nowMs = IDLE_TIMEOUT_MS * 0.8;
  assert.not(open(table).isOpen);
  assert.ok(first.isOpen);
  context.nowMs += 1;
  assert.ok(open(table).isOpen);
  assert.not(first.isOpen);
});

test('connections make room for those to upstreams, idle ones first', (context) => {
  let available = 3;
  const table = context.create({}, () => available);
  const [first, second] = [open(table), open(table)];
  begin(table, second);
  available = 1;
  context.nowMs = 1_000;
  table.check();
  table.check();
  assert.not(first.isOpen);
  assert.ok(second.isOpen);
  assert.not(open(table).isOpen);
});

test('heads that hold too much close, the one that stands still longest first', (context) => {
  const table = context.create();
  const [first, second] = [open(table), open(table)];
  first.bytesRead = 600;
  table.check();
  context.nowMs = 500;
  second.bytesRead = 600;
  table.check();
  assert.not(first.isOpen);
  assert.ok(second.isOpen);
  assert.is(table.headBytes, 600);
});

test('the rest of a body that is discarded is no head', ({ create }) => {
  const table = create();
  const socket = open(table);
  begin(table, socket, false);
  socket.bytesRead = 500;
  end(table, socket);
  socket.bytesRead = 5_000;
  table.check();
  assert.ok(socket.isOpen);
  assert.is(table.headBytes, 0);
});

test('a pipelined request is watched after the one before it has ended', (context) => {
  const evicted: RefusalReason[] = [];
  const account = { awaited: Awaited.Body, readIdleMs: () => context.nowMs };
  const table = context.create();
  const socket = open(table);
  begin(table, socket);
  begin(table, socket, false);
  table.setAccount(
    socket as unknown as Socket,
    {
      ...account,
      evict: (reason: RefusalReason) => evicted.push(reason),
    } as unknown as MemoryAccount,
  );
  end(table, socket);
  context.nowMs = LIMITS.bodyIdleMs + 1;
  table.check();
  assert.equal(evicted, [RefusalReason.RequestTooSlow]);
});

test('a connection is busy until the body has arrived, so that no second answer is sent', (context) => {
  const table = context.create();
  const [answered, done] = [open(table), open(table)];
  begin(table, answered, false);
  end(table, answered);
  begin(table, done);
  end(table, done);
  assert.ok(table.isBusy(answered as unknown as Socket));
  assert.not(table.isBusy(done as unknown as Socket));
});

test('requests and connections are limited by address, and given back', ({ create }) => {
  const table = create({ connectionsPerAddress: 2, requests: 10, requestsPerAddress: 1 });
  const [first, second] = [open(table), open(table)];
  assert.not(open(table).isOpen);
  assert.ok(open(table, '10.0.0.2').isOpen);
  assert.ok(begin(table, first));
  assert.not(begin(table, second));
  end(table, second);
  first.destroy();
  assert.ok(begin(table, second));
  assert.is(table.requestCount, 1);
  assert.ok(open(table).isOpen);
});

test.run();
