import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { CostPredictor } from '../../../src/direct/cost/costPredictor.js';
import { EngineWork } from '../../../src/direct/cost/engineWork.js';
import { PoolCost, type PoolView } from '../../../src/direct/cost/poolCost.js';
import type { DirectUpstream, UpstreamEntry } from '../../../src/direct/directUpstream.js';
import { FleetBoard } from '../../../src/direct/fleetBoard.js';
import { LoadExchange } from '../../../src/direct/loadExchange.js';
import { MessageType, parseMessage } from '../../../src/messages/message.js';
import { CountingMetrics } from '../../../src/ports/countingMetrics.js';
import { SilentLog } from '../../../src/ports/silentLog.js';
import { withClock } from '../directFixture.js';
import { DEFAULT_COSTS } from '../groupModel.js';
import { createPairedDialer, type PairedLink } from '../pairedLinks.js';
import { BOUNDS } from '../sampleBounds.js';

const PASS_MS = 100;

const UPSTREAM: UpstreamEntry = {
  id: 'm-1',
  address: '10.0.0.1:80',
  domain: 'zone-a',
  pool: 'models',
  slots: 8,
  isLeaving: false,
  startedAtUnixMs: 1,
  coldForMs: 0,
};

/** 612 prompt tokens are 10 ms of prefill, 100 tokens 53 ms of decoding. */
const COST = new CostPredictor(new EngineWork(DEFAULT_COSTS)).predict({
  route: 'stream',
  workspace: 'parish',
  size: { promptTokens: 612, answerTokensMax: 400, answerTokensHint: 100 },
});

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
    board.putUpstream(UPSTREAM);
    const metrics = new CountingMetrics();
    const exchange = new LoadExchange({ board, dialer, log: new SilentLog(), metrics });
    entries.set(name, { board, exchange });
  });
  const addresses = names.map((name) => ({ name, address: name }));
  entries.forEach(({ exchange }) => {
    exchange.start();
    exchange.setAddresses(addresses);
  });
  return [...entries.values()];
}

function findUpstream({ board }: Entry): DirectUpstream {
  const upstream = board.findUpstream(UPSTREAM.id);
  if (!upstream) throw new Error('no upstream');
  return upstream;
}

function begin(entry: Entry) {
  const upstream = findUpstream(entry);
  entry.board.addInFlight(upstream, 1);
  return entry.board.work.begin(upstream, {
    cost: COST,
    earlierEvents: 0,
    sentAtMs: performance.now(),
  });
}

/** Work left at the upstream by all that an entry knows, in whole milliseconds. */
function readLeft(entry: Entry) {
  const nowMs = performance.now();
  const view: PoolView = {
    passMs: PASS_MS,
    peers: 1,
    countLoad: (upstream) => entry.board.countLoad(upstream, nowMs),
    nowMs,
  };
  const left = new PoolCost(DEFAULT_COSTS, true).readLeft(findUpstream(entry), view);
  return [Math.round(left.prefillMs), Math.round(left.decodeMs)];
}

async function withEntries(
  body: (
    entries: readonly [Entry, Entry],
    pass: (ms: number) => Promise<unknown>,
    links: readonly PairedLink[],
  ) => Promise<void>,
): Promise<void> {
  await withClock(async (clock) => {
    const links: PairedLink[] = [];
    const [first, second] = createEntries(['a', 'b'], links);
    if (!first || !second) throw new Error('two entries are needed');
    await clock.tickAsync(100);
    await body([first, second], (ms) => clock.tickAsync(ms), links);
    first.exchange.stop();
    second.exchange.stop();
  });
}

test('work that begins is known to the peers within a batch, and once', () =>
  withEntries(async ([own, peer], pass) => {
    begin(own);
    assert.equal(readLeft(own), [10, 53]);
    await pass(22);
    assert.equal(readLeft(peer), [10, 53]);
    begin(peer);
    await pass(1_000);
    const [, decodeMs = 0] = readLeft(own);
    assert.ok(decodeMs > 53 && decodeMs <= 106, `${decodeMs} ms after several full counts`);
  }));

test('output takes off what is left, and the end takes off the rest', () =>
  withEntries(async ([own, peer], pass) => {
    const attempt = begin(own);
    own.board.work.noteFirstOutput(findUpstream(own), attempt);
    attempt.noteEvents(10);
    assert.equal(readLeft(own), [0, 27]);
    await pass(22);
    assert.equal(readLeft(peer), [0, 27]);
    own.board.work.end(findUpstream(own), attempt);
    own.board.addInFlight(findUpstream(own), -1);
    await pass(22);
    assert.equal(readLeft(peer), [0, 0]);
  }));

test('an answer longer than expected still has work left, up to its limit', () =>
  withEntries(async ([own]) => {
    const attempt = begin(own);
    own.board.work.noteFirstOutput(findUpstream(own), attempt);
    attempt.noteEvents(40);
    assert.equal(readLeft(own), [0, 27], 'a quarter of the 200 tokens so far');
    attempt.noteEvents(40);
    assert.equal(readLeft(own), [0, 0]);
  }));

test('the work of a frozen peer fades by its pace, and is dropped with its counts', () =>
  withEntries(async ([own, peer], pass, links) => {
    begin(peer);
    await pass(22);
    // The frozen entry neither sends nor accepts a link that is dialled meanwhile.
    links.forEach((link) => Object.assign(link, { isSilent: true }));
    Object.assign(peer.exchange, { attach: () => {} });
    await pass(1_000);
    const [, decodeMs = 0] = readLeft(own);
    assert.ok(decodeMs > 20 && decodeMs < 30, `${decodeMs} ms after 10 passes of 5 steps`);
    await pass(1_100);
    assert.equal(readLeft(own), [0, 0]);
    const clock = { nowMs: performance.now(), passMs: PASS_MS, stepsPerPass: 5 };
    assert.is(findUpstream(own).work.readLeft(clock).stepMs, 0, 'its requests are gone as well');
  }));

test('a new incarnation of an upstream begins without work, whatever still ends at the old', () =>
  withEntries(async ([own, peer], pass) => {
    const old = findUpstream(own);
    const attempt = begin(own);
    await pass(22);
    [own, peer].forEach(({ board }) => board.putUpstream({ ...UPSTREAM, startedAtUnixMs: 2 }));
    assert.equal(readLeft(own), [0, 0]);
    assert.equal(readLeft(peer), [0, 0]);
    own.board.work.end(old, attempt);
    own.board.addInFlight(old, -1);
    await pass(600);
    assert.equal(readLeft(peer), [0, 0]);
  }));

test('the work of a pool that is too large to look at as a whole is not told', () =>
  withEntries(async ([own], pass, links) => {
    Array.from({ length: 200 }).forEach((_, at) =>
      own.board.putUpstream({ ...UPSTREAM, id: `other-${at}` }),
    );
    begin(own);
    await pass(600);
    const told = links
      .flatMap(({ sent }) => sent)
      .flatMap((message) => (message.type === MessageType.UpstreamCounts ? [message.work] : []));
    assert.ok(told.length > 0);
    assert.ok(told.every((work) => Object.keys(work ?? {}).length === 0));
  }));

test('a message with work that is negative or not whole is invalid as a whole', () => {
  const message = { type: MessageType.UpstreamCounts, entry: 'a', isFull: true, counts: {} };
  assert.ok(parseMessage({ ...message, work: { 'm-1': [10, 53, 530] } }).ok);
  assert.ok(parseMessage(message).ok, 'an earlier version sends none');
  assert.not(parseMessage({ ...message, work: { 'm-1': [10, -1, 530] } }).ok);
  assert.not(parseMessage({ ...message, work: { 'm-1': [10, 0.5, 530] } }).ok);
});

test('requests of a peer of an earlier version count as usual ones', () =>
  withEntries(async ([own], pass, links) => {
    const counts = { [UPSTREAM.id]: 2 };
    const type = MessageType.UpstreamCounts as const;
    links.forEach((link) => link.send({ type, entry: 'b', isFull: true, counts }));
    await pass(2);
    const usualMs = (DEFAULT_COSTS.answerTokens * DEFAULT_COSTS.decodeMs) / 2;
    assert.equal(readLeft(own), [0, Math.round(2 * usualMs)]);
  }));

test.run();
