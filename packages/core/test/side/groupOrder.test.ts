import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { MessageType } from '../../src/messages/message.js';
import { EngineOrderErrorKind } from '../../src/ports/engine.js';

import { withSide } from './sideFixture.js';
import type { TestEntry } from './testEntry.js';

/** Time in which the reply to an order arrives. */
const ORDER_SETTLE_MS = 20;

function sendOrder(entry: TestEntry, orderId: string, fencingNumber: number): void {
  entry.link.receive({
    type: MessageType.GroupOrder,
    orderId,
    fencingNumber,
    action: 'load',
    params: {},
  });
}

function readErrors(entry: TestEntry): unknown[] {
  return entry.list(MessageType.GroupReply).map(({ isOk, result }) => (isOk ? 'ok' : result.error));
}

test('an order with an older fencing number never reaches an engine that does not check', () =>
  withSide(async ({ clock, engine }, entry) => {
    sendOrder(entry, 'o1', 5);
    sendOrder(entry, 'o2', 4);
    await clock.tickAsync(ORDER_SETTLE_MS);
    assert.equal(readErrors(entry).sort(), [EngineOrderErrorKind.Fenced, 'ok']);
    assert.equal(
      engine.orders.map(({ orderId }) => orderId),
      ['o1'],
    );
  }));

test('a queued order is dropped if a newer coordinator has sent an order meanwhile', () =>
  withSide(async ({ clock, engine }, entry) => {
    sendOrder(entry, 'o1', 5);
    sendOrder(entry, 'o2', 5);
    sendOrder(entry, 'o3', 6);
    await clock.tickAsync(ORDER_SETTLE_MS * 3);
    assert.equal(
      engine.orders.map(({ orderId }) => orderId),
      ['o1', 'o3'],
    );
  }));

test('a repeated order has one effect and the same reply, even after a coordinator change', () =>
  withSide(async ({ clock, engine }, entry) => {
    sendOrder(entry, 'o1', 5);
    sendOrder(entry, 'o1', 5);
    await clock.tickAsync(ORDER_SETTLE_MS);
    sendOrder(entry, 'o2', 6);
    sendOrder(entry, 'o1', 5);
    await clock.tickAsync(ORDER_SETTLE_MS);
    assert.is(engine.orders.length, 2);
    const replies = entry.list(MessageType.GroupReply).filter(({ orderId }) => orderId === 'o1');
    assert.equal(
      replies.map(({ result }) => result.count),
      [1, 1, 1],
    );
  }));

test('an order whose reply was lost is unknown, and can be repeated under the same id', () =>
  withSide(async ({ clock, engine }, entry) => {
    engine.set({ orderErrors: [EngineOrderErrorKind.Unknown] });
    sendOrder(entry, 'o1', 5);
    await clock.tickAsync(ORDER_SETTLE_MS);
    sendOrder(entry, 'o1', 5);
    await clock.tickAsync(ORDER_SETTLE_MS);
    assert.equal(readErrors(entry), [EngineOrderErrorKind.Unknown, 'ok']);
  }));

test('a hanging order is reported as unknown after a timeout, and later orders wait for it', () =>
  withSide(async ({ clock, engine }, entry) => {
    engine.set({ orderMs: 60_000 });
    sendOrder(entry, 'o1', 5);
    sendOrder(entry, 'o2', 5);
    await clock.tickAsync(10_000);
    assert.equal(readErrors(entry), [EngineOrderErrorKind.Unknown, EngineOrderErrorKind.Unknown]);
    assert.is(engine.orders.length, 1);
  }));

test('a fencing number refused by the engine is not sent to it again', () =>
  withSide(async ({ clock, engine }, entry) => {
    engine.set({ orderErrors: [EngineOrderErrorKind.Fenced] });
    sendOrder(entry, 'o1', 5);
    await clock.tickAsync(ORDER_SETTLE_MS);
    sendOrder(entry, 'o2', 5);
    await clock.tickAsync(ORDER_SETTLE_MS);
    assert.is(engine.orders.length, 1);
  }));

test.run();
