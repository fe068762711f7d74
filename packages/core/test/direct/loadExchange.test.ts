import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { CountingMetrics } from '../../src/ports/countingMetrics.js';
import { LoadExchange } from '../../src/direct/loadExchange.js';
import { FleetBoard, LeavingSource } from '../../src/direct/fleetBoard.js';
import { UpstreamRegistry } from '../../src/direct/upstreamRegistry.js';
import { SilentLog } from '../../src/ports/silentLog.js';

import { withClock } from './directFixture.js';
import { createPairedDialer, type PairedLink } from './pairedLinks.js';
import { BOUNDS } from './sampleBounds.js';

interface Entry {
  readonly board: FleetBoard;
  readonly exchange: LoadExchange;
}

function createEntries(names: readonly string[], links: PairedLink[]): readonly Entry[] {
  const entries = new Map<string, Entry>();
  const dialer = createPairedDialer((name) => entries.get(name)?.exchange, links);
  names.forEach((name) => {
    const board = new FleetBoard(name, 'zone-a', BOUNDS);
    board.entryCount = names.length;
    new UpstreamRegistry(board, new SilentLog()).put({
      id: 'm-1',
      address: '10.0.0.1:80',
      domain: 'zone-a',
      pool: 'models',
      slots: 8,
      isLeaving: false,
      startedAtUnixMs: 1,
      coldForMs: 0,
    });
    entries.set(name, {
      board,
      exchange: new LoadExchange({
        board,
        dialer,
        log: new SilentLog(),
        metrics: new CountingMetrics(),
      }),
    });
  });
  const list = [...entries.values()];
  const addresses = names.map((name) => ({ name, address: name }));
  list.forEach(({ exchange }) => {
    exchange.start();
    exchange.setAddresses(addresses);
  });
  return list;
}

function countLoad({ board }: Entry): number {
  const upstream = board.findUpstream('m-1');
  return upstream ? board.countLoad(upstream, performance.now()) : Number.NaN;
}

function addRequest({ board }: Entry): void {
  const upstream = board.findUpstream('m-1');
  if (upstream) board.addInFlight(upstream, 1);
}

test('each entry soon knows the in-flight counts of all entries', () =>
  withClock(async (clock) => {
    const entries = createEntries(['a', 'b', 'c'], []);
    await clock.tickAsync(100);
    entries.forEach(addRequest);
    await clock.tickAsync(50);
    assert.equal(entries.map(countLoad), [3, 3, 3]);
    entries.forEach(({ exchange }) => exchange.stop());
  }));

test('the counts of a peer that has timed out are dropped, and it is dialled again', () =>
  withClock(async (clock) => {
    const links: PairedLink[] = [];
    const entries = createEntries(['a', 'b'], links);
    await clock.tickAsync(100);
    entries.forEach(addRequest);
    await clock.tickAsync(4_000);
    links.forEach((link) => Object.assign(link, { isSilent: true }));
    const seen: (number | undefined)[] = [];
    for (let step = 0; step < 3_000; step += 1) {
      // eslint-disable-next-line no-await-in-loop -- looks at every millisecond
      await clock.tickAsync(1);
      seen.push(entries[0] && countLoad(entries[0]));
    }
    assert.ok(seen.includes(1), 'its counts are dropped until it is back');
    assert.equal(entries.map(countLoad), [2, 2]);
    entries.forEach(({ exchange }) => exchange.stop());
  }));

test('an entry that has just started assumes its own counts for peers not heard yet', () =>
  withClock(async (clock) => {
    const [entry] = createEntries(['a'], []);
    if (!entry) throw new Error('no entry');
    entry.board.entryCount = 3;
    addRequest(entry);
    assert.is(countLoad(entry), 3);
    await clock.tickAsync(4_000);
    assert.is(countLoad(entry), 1);
    entry.exchange.stop();
  }));

test('peers know that an entry is in a planned stop', () =>
  withClock(async (clock) => {
    const entries = createEntries(['a', 'b'], []);
    await clock.tickAsync(100);
    if (entries[0]) entries[0].board.isStopping = true;
    await clock.tickAsync(600);
    assert.equal([...(entries[1]?.board.stoppingPeers ?? [])], ['a']);
    entries.forEach(({ exchange }) => exchange.stop());
  }));

/** Opens an entry's circuit breaker of the pool. */
function openBreaker({ board }: Entry): void {
  Array.from({ length: 3 }, () => board.getBreaker('models').noteFailure());
}

test('when one entry finds a pool available again, all entries soon know', () =>
  withClock(async (clock) => {
    const entries = createEntries(['a', 'b', 'c'], []);
    await clock.tickAsync(100);
    entries.forEach(openBreaker);
    assert.ok(entries.every(({ board }) => board.getBreaker('models').isOpen));
    entries[1]?.board.getBreaker('models').noteSuccess();
    await clock.tickAsync(10);
    assert.ok(entries.every(({ board }) => !board.getBreaker('models').isOpen));
    entries.forEach(({ exchange }) => exchange.stop());
  }));

/** Lets the upstream report to one entry that it is about to stop. */
function reportLeaving({ board }: Entry): void {
  const upstream = board.findUpstream('m-1');
  if (upstream) board.noteLeaving(upstream, LeavingSource.Upstream);
}

test('when an upstream reports to one entry that it is leaving, all entries soon know', () =>
  withClock(async (clock) => {
    const entries = createEntries(['a', 'b', 'c'], []);
    await clock.tickAsync(100);
    entries.slice(1, 2).forEach(reportLeaving);
    await clock.tickAsync(10);
    assert.ok(entries.every(({ board }) => board.findUpstream('m-1')?.isLeaving));
    entries.forEach(({ exchange }) => exchange.stop());
  }));

test('an entry that missed that message learns of it with the next full counts', () =>
  withClock(async (clock) => {
    const links: PairedLink[] = [];
    const entries = createEntries(['a', 'b'], links);
    await clock.tickAsync(100);
    links.forEach((link) => Object.assign(link, { isSilent: true }));
    entries.slice(0, 1).forEach(reportLeaving);
    await clock.tickAsync(50);
    assert.not(entries[1]?.board.findUpstream('m-1')?.isLeaving);
    links.forEach((link) => Object.assign(link, { isSilent: false }));
    await clock.tickAsync(600);
    assert.ok(entries[1]?.board.findUpstream('m-1')?.isLeaving);
    entries.forEach(({ exchange }) => exchange.stop());
  }));

// Guards against empty messages to every peer, which cost processor time while a pool is full.
test('a batch without anything new is not sent', () =>
  withClock(async (clock) => {
    const links: PairedLink[] = [];
    const [entry] = createEntries(['a', 'b'], links);
    await clock.tickAsync(600);
    const countSent = (): number => links.reduce((sum, { sent }) => sum + sent.length, 0);
    const before = countSent();
    entry?.board.demand.notePrefilled();
    await clock.tickAsync(100);
    assert.is(countSent(), before);
  }));

test.run();
