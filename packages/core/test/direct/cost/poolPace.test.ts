import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { PoolPace } from '../../../src/direct/cost/poolPace.js';
import { DirectUpstream } from '../../../src/direct/directUpstream.js';

const PASS_MS = 80;

function createUpstreams(count: number): readonly DirectUpstream[] {
  return Array.from(
    { length: count },
    (_, at) =>
      new DirectUpstream({
        id: `m-${at}`,
        address: `10.0.0.${at}:80`,
        domain: 'zone-a',
        pool: 'models',
        slots: 8,
        isLeaving: false,
        startedAtUnixMs: 1,
        coldForMs: 0,
      }),
  );
}

/** Plays passes; each upstream pauses by its factor, as a whole group does if it is one. */
function play(
  pace: PoolPace,
  upstreams: readonly DirectUpstream[],
  readFactor: (at: number) => number,
  fromMs: number,
  spanMs: number,
): void {
  for (let nowMs = fromMs; nowMs < fromMs + spanMs; nowMs += PASS_MS) {
    upstreams.forEach((upstream, at) => {
      const pauseMs = PASS_MS * readFactor(at);
      pace.notePause({ upstream, pauseMs, expectedMs: PASS_MS }, nowMs);
    });
  }
}

function readSlowdowns(upstreams: readonly DirectUpstream[], nowMs: number): readonly number[] {
  return upstreams.map((upstream) => Math.round(upstream.readSlowdown(nowMs) * 10) / 10);
}

test('an upstream that is slower than the others is found within a second', () => {
  const upstreams = createUpstreams(5);
  play(new PoolPace(false), upstreams, (at) => (at === 2 ? 3 : 1), 0, 1_000);
  assert.equal(readSlowdowns(upstreams, 1_000), [1, 1, 3, 1, 1]);
});

test('a demand that slows all upstreams at once leaves none slower than the others', () => {
  const upstreams = createUpstreams(5);
  const pace = new PoolPace(true);
  play(pace, upstreams, () => 1, 0, 1_000);
  play(pace, upstreams, () => 2.5, 1_000, 1_000);
  assert.equal(readSlowdowns(upstreams, 2_000), [1, 1, 1, 1, 1]);
});

test('a slow group among others is chosen less, and keeps its in-flight limit', () => {
  const upstreams = createUpstreams(6);
  play(new PoolPace(true), upstreams, (at) => (at < 2 ? 2 : 1), 0, 1_000);
  assert.equal(readSlowdowns(upstreams, 1_000), [1, 1, 1, 1, 1, 1]);
  const recent = upstreams.map((upstream) => Math.round(upstream.readRecentSlowdown(1_000)));
  assert.equal(recent, [2, 2, 1, 1, 1, 1]);
});

test('pauses of a slow upstream do not tell about the pool, but those of all do', () => {
  const upstreams = createUpstreams(5);
  const [slow] = upstreams;
  if (!slow) throw new Error('no upstream');
  const pace = new PoolPace(false);
  play(pace, upstreams, (at) => (at === 0 ? 3 : 1), 0, 1_000);
  const pause = { upstream: slow, pauseMs: 3 * PASS_MS, expectedMs: PASS_MS };
  assert.not(pace.notePause(pause, 1_000));
  play(pace, upstreams, () => 3, 1_000, 1_000);
  assert.ok(pace.notePause(pause, 2_000));
});

test('an upstream that was slow comes back by and by', () => {
  const upstreams = createUpstreams(5);
  const [slow] = upstreams;
  if (!slow) throw new Error('no upstream');
  slow.noteSlowdown(3, 0);
  slow.noteSlowdown(1, 500);
  assert.is(slow.readSlowdown(500), 1);
  const factors = [500, 1_000, 2_000, 5_000].map((atMs) => slow.readRecentSlowdown(atMs));
  assert.ok(factors.every((factor, at) => at === 0 || factor < (factors[at - 1] ?? 0)));
  assert.ok((factors[0] ?? 0) > 2 && (factors[3] ?? 0) < 1.1, factors.join(' '));
});

test('what an upstream without streams was seen to do is forgotten', () => {
  const upstreams = createUpstreams(5);
  play(new PoolPace(false), upstreams, (at) => (at === 2 ? 3 : 1), 0, 1_000);
  const later = readSlowdowns(upstreams, 13_000)[2] ?? 0;
  assert.ok(later <= 1.1, `${later} after twelve seconds`);
});

test.run();
