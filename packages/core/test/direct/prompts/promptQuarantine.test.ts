import { test } from 'uvu';
import * as assert from 'uvu/assert';

import type { PromptNews } from '../../../src/messages/message.js';
import { PromptQuarantine } from '../../../src/direct/prompts/promptQuarantine.js';
import { withClock, type TestClock } from '../directFixture.js';

const POOL = 'models';

/** Age of news on arrival. */
const LINK_MS = 2;

/** Time after a crash by which the first hold has ended on all entries. */
const HELD_MS = 60_010;

/** Requests of each entry, of which one in 64 has the part. */
const ARRIVALS = 256;
const ARRIVALS_PER_PART = 64;

interface Entries {
  readonly all: PromptQuarantine[];
  /** Starts another entry, which connects to all others. */
  readonly add: () => PromptQuarantine;
}

/** Connects entries that tell each other their news. */
function connect(count: number): Entries {
  const all: PromptQuarantine[] = [];
  const add = (): PromptQuarantine => {
    const entry = new PromptQuarantine();
    const tell = (news: PromptNews) =>
      setTimeout(() => all.forEach((other) => other !== entry && other.applyNews(news)), LINK_MS);
    entry.onNews(tell);
    all.forEach((other) => other.listNews().forEach((news) => entry.applyNews(news)));
    all.push(entry);
    return entry;
  };
  Array.from({ length: count }, add);
  return { all, add };
}

function sendTraffic(entries: readonly PromptQuarantine[]): void {
  entries.forEach((entry) =>
    Array.from({ length: ARRIVALS }, (_, at) =>
      entry.noteArrival(POOL, [at % ARRIVALS_PER_PART === 0 ? 'part' : 'other']),
    ),
  );
}

function crash(entry: PromptQuarantine | undefined, upstream: string, parts = ['part']): void {
  const weights = new Map(parts.map((part) => [part, 1]));
  entry?.noteCrash(POOL, { upstream, atMs: performance.now(), weights });
}

/** Time in milliseconds for which a request is held back; 0 where it may be sent. */
function readHeldMs(entry: PromptQuarantine | undefined, request = 'r-1', part = 'part'): number {
  const nowMs = performance.now();
  return (entry?.check(POOL, [part], request, nowMs)?.untilMs ?? nowMs) - nowMs;
}

/** Runs a test with three connected entries that have traffic. */
function withEntries(body: (entries: Entries, clock: TestClock) => Promise<void>): Promise<void> {
  return withClock(async (clock) => {
    const entries = connect(3);
    sendTraffic(entries.all);
    await body(entries, clock);
  });
}

test('a part that crashed an upstream of one entry is held back by all', () =>
  withEntries(async ({ all }, clock) => {
    crash(all[0], 'u-1');
    await clock.tickAsync(10);
    all.forEach((entry) => assert.ok(readHeldMs(entry) > 50_000));
    assert.is(readHeldMs(all[1], 'r-1', 'other'), 0);
  }));

test('a part that another entry has served is not held back', () =>
  withEntries(async ({ all }, clock) => {
    all[2]?.noteServed(POOL, ['part']);
    await clock.tickAsync(1_000);
    crash(all[0], 'u-1', ['part', 'new']);
    await clock.tickAsync(10);
    all.forEach((entry) => assert.is(readHeldMs(entry), 0));
    all.forEach((entry) => assert.ok(readHeldMs(entry, 'r-1', 'new') > 0));
  }));

test('of two possible causes of a crash neither is held until the other is cleared', () =>
  withEntries(async ({ all }, clock) => {
    crash(all[0], 'u-1', ['one']);
    crash(all[1], 'u-1', ['two']);
    await clock.tickAsync(1_000);
    all.forEach((entry) => assert.is(readHeldMs(entry, 'r-1', 'one'), 0));
    all[2]?.noteServed(POOL, ['two']);
    await clock.tickAsync(10);
    all.forEach((entry) => assert.ok(readHeldMs(entry, 'r-1', 'one') > 0));
  }));

test('the entries are told only once that a part was served after a crash', () =>
  withClock(async (clock) => {
    const entry = new PromptQuarantine();
    const told: PromptNews[] = [];
    entry.onNews((news) => told.push(news));
    crash(entry, 'u-1', ['part', 'other']);
    const before = told.length;
    for (let at = 0; at < 100; at += 1) {
      // eslint-disable-next-line no-await-in-loop -- answers follow each other
      await clock.tickAsync(10);
      entry.noteServed(POOL, ['part']);
    }
    assert.is(told.length, before + 1);
  }));

test('after the hold a single request is let through, by one entry', () =>
  withEntries(async ({ all }, clock) => {
    crash(all[0], 'u-1');
    await clock.tickAsync(HELD_MS);
    assert.is(readHeldMs(all[1], 'trial'), 0);
    await clock.tickAsync(10);
    assert.is(readHeldMs(all[1], 'trial'), 0, 'the trial itself is not held back');
    assert.ok(readHeldMs(all[1], 'r-2') > 0);
    assert.ok(readHeldMs(all[0], 'r-3') > 0);
  }));

test('a part whose trial is served is released by all entries', () =>
  withEntries(async ({ all }, clock) => {
    crash(all[0], 'u-1');
    await clock.tickAsync(HELD_MS);
    readHeldMs(all[1], 'trial');
    all[1]?.noteServed(POOL, ['part']);
    await clock.tickAsync(10);
    all.forEach((entry) => assert.is(readHeldMs(entry, 'r-2'), 0));
  }));

test('a part whose trial crashes an upstream is held for longer', () =>
  withEntries(async ({ all }, clock) => {
    crash(all[0], 'u-1');
    await clock.tickAsync(HELD_MS);
    readHeldMs(all[1], 'trial');
    crash(all[1], 'u-2');
    await clock.tickAsync(10);
    all.forEach((entry) => assert.ok(readHeldMs(entry, 'trial') > 110_000));
  }));

test('a trial that ends without a result is followed by another', () =>
  withEntries(async ({ all }, clock) => {
    crash(all[0], 'u-1');
    await clock.tickAsync(HELD_MS);
    readHeldMs(all[1], 'trial');
    all[1]?.endTrial(POOL, 'trial');
    assert.is(readHeldMs(all[1], 'r-2'), 0);
  }));

test('a part stays held while other crashes of the same incident are being reported', () =>
  withEntries(async ({ all }, clock) => {
    crash(all[0], 'u-1');
    await clock.tickAsync(50);
    ['u-2', 'u-3'].forEach((upstream) => crash(all[1], upstream, [`beside-${upstream}`]));
    await clock.tickAsync(10);
    all.forEach((entry) => assert.ok(readHeldMs(entry) > 0));
    ['u-2', 'u-3'].forEach((upstream) => crash(all[2], upstream));
    await clock.tickAsync(1_000);
    all.forEach((entry) => assert.ok(readHeldMs(entry) > 50_000));
  }));

test('a part is released once the reports of an incident do not support the suspicion', () =>
  withEntries(async ({ all }, clock) => {
    crash(all[0], 'u-1');
    await clock.tickAsync(50);
    ['u-2', 'u-3'].forEach((upstream) => crash(all[1], upstream, [`beside-${upstream}`]));
    await clock.tickAsync(1_000);
    all.forEach((entry) => assert.is(readHeldMs(entry), 0));
  }));

test('a part of most requests is held for a short time only', () =>
  withClock(async () => {
    const [entry] = connect(1).all;
    Array.from({ length: ARRIVALS }, () => entry?.noteArrival(POOL, ['part']));
    crash(entry, 'u-1');
    assert.ok(readHeldMs(entry) > 0);
    assert.ok(readHeldMs(entry) <= 16_100);
  }));

test('an entry that has just started holds a part for as long as the others', () =>
  withEntries(async ({ all, add }, clock) => {
    crash(all[0], 'u-1');
    await clock.tickAsync(10_000);
    const started = add();
    started.noteArrival(POOL, ['part']);
    assert.ok(readHeldMs(started) > 40_000, `${readHeldMs(started)} ms`);
  }));

test('an entry that starts during a trial makes none of its own', () =>
  withEntries(async ({ all, add }, clock) => {
    crash(all[0], 'u-1');
    await clock.tickAsync(HELD_MS);
    readHeldMs(all[1], 'trial');
    await clock.tickAsync(10);
    const started = add();
    assert.ok(readHeldMs(started) > 0);
  }));

test.run();
