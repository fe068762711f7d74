import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { computeSuspicions, type Crash } from '../../../src/direct/prompts/crashSuspicion.js';

/** Creates a crash with parts of equal weight. */
function createCrash(upstream: string, atMs: number, parts: readonly string[]): Crash {
  return { upstream, atMs, weights: new Map(parts.map((part) => [part, 1])) };
}

/** Computes the suspicion of one part; `served` has the time of the latest answer on each part. */
function suspect(
  part: string,
  crashes: readonly Crash[],
  served: Readonly<Record<string, number>> = {},
): number {
  return computeSuspicions(crashes, (each) => served[each]).get(part)?.probability ?? 0;
}

test('the only part that was never served is the probable cause of a crash', () => {
  const crash = createCrash('u-1', 100_000, ['common', 'new']);
  assert.ok(suspect('new', [crash], { common: 99_000 }) > 0.5);
  assert.ok(suspect('common', [crash], { common: 99_000 }) < 0.2);
});

test('of two parts that were never served neither is the probable cause', () => {
  const crash = createCrash('u-1', 100_000, ['one', 'two']);
  assert.ok(suspect('one', [crash]) < 0.5);
  assert.ok(suspect('two', [crash]) < 0.5);
});

test('a part that was served since is cleared, which leaves the crash to the other', () => {
  const crash = createCrash('u-1', 100_000, ['one', 'two']);
  assert.is(suspect('one', [crash], { one: 100_001 }), 0);
  assert.ok(suspect('two', [crash], { one: 100_001 }) > 0.5);
});

test('a part that crashes upstreams only since a moment is found by the second crash', () => {
  const served = { changed: 99_000 };
  const crashes = [100_000, 105_000].map((atMs, at) => createCrash(`u-${at}`, atMs, ['changed']));
  assert.ok(suspect('changed', crashes.slice(0, 1), served) < 0.5);
  assert.ok(suspect('changed', crashes, served) > 0.5);
});

test('parts of single requests are not blamed for the loss of many upstreams at once', () => {
  const crashes = ['a', 'b', 'c', 'd'].map((part, at) => createCrash(`u-${at}`, 100_000, [part]));
  crashes.forEach((_, at) => assert.ok(suspect('abcd'[at] ?? '', crashes) < 0.25));
});

test('a part that all upstreams lost at once have in common is the probable cause', () => {
  const crashes = ['a', 'b', 'c', 'd'].map((part, at) =>
    createCrash(`u-${at}`, 100_000 + at, [part, 'common']),
  );
  assert.ok(suspect('common', crashes) > 0.5);
  assert.ok(suspect('a', crashes) < 0.25);
});

test('a request whose answer had not begun is a less likely cause', () => {
  const weights = new Map([
    ['begun', 1],
    ['queued', 0.2],
  ]);
  const crashes = [{ upstream: 'u-1', atMs: 100_000, weights }];
  assert.ok(suspect('begun', crashes) > 0.5);
  assert.ok(suspect('queued', crashes) < 0.2);
});

test.run();
