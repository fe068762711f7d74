import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { PoolCost, type WorkWeights } from '../../src/direct/cost/poolCost.js';
import type { RequestCost } from '../../src/direct/cost/requestCost.js';
import { FleetBoard } from '../../src/direct/fleetBoard.js';
import { choosePlacement, type PlacementQuery } from '../../src/direct/placement.js';
import { Random } from '../../src/ports/random.js';

import { withClock } from './directFixture.js';
import { DEFAULT_COSTS } from './groupModel.js';
import { BOUNDS } from './sampleBounds.js';

const POOL = 'models';

/** Time after which a slowdown that is over no longer counts. */
const FORGOTTEN_MS = 20_000;

function createBoard(count: number, name = 'entry-1'): FleetBoard {
  const board = new FleetBoard(name, 'zone-a', BOUNDS);
  board.entryCount = 1;
  Array.from({ length: count }).forEach((_, at) =>
    board.putUpstream({
      id: `m-${at}`,
      address: `10.0.0.${at}:80`,
      domain: `zone-${'abc'[at % 3] ?? 'a'}`,
      pool: POOL,
      slots: 8,
      isLeaving: false,
      startedAtUnixMs: 1,
      coldForMs: 0,
    }),
  );
  return board;
}

function predict(cost: PoolCost, promptTokens: number, answerTokens: number): RequestCost {
  const size = { promptTokens, answerTokensMax: 1_000, answerTokensHint: answerTokens };
  return cost.predict({ route: 'stream', workspace: 'parish', size });
}

function createQuery(weights: WorkWeights | undefined, random: Random): PlacementQuery {
  return {
    pool: POOL,
    excluded: new Set(),
    limit: 8,
    startsPerS: Number.POSITIVE_INFINITY,
    nowMs: performance.now(),
    weights,
    draw: () => random.next(),
  };
}

function createWeights(board: FleetBoard, cost: PoolCost, request: RequestCost, peers = 0) {
  return cost.createWeights(request, {
    passMs: 100,
    peers,
    countLoad: (upstream) => board.countLoad(upstream, performance.now()),
    nowMs: performance.now(),
  });
}

function begin(board: FleetBoard, id: string, cost: RequestCost): void {
  const upstream = board.findUpstream(id);
  if (!upstream) throw new Error(`no upstream ${id}`);
  board.addInFlight(upstream, 1);
  board.work.begin(upstream, { cost, earlierEvents: 0, sentAtMs: performance.now() });
}

function choose(board: FleetBoard, weights: WorkWeights, random = new Random(1)) {
  return choosePlacement(board, createQuery(weights, random)).upstream?.id;
}

test('of upstreams with as many requests, one without a long prompt in prefill is chosen', () =>
  withClock(() => {
    const board = createBoard(2);
    const cost = new PoolCost(DEFAULT_COSTS, true);
    begin(board, 'm-0', predict(cost, 3_000, 100));
    begin(board, 'm-1', predict(cost, 100, 100));
    assert.is(choose(board, createWeights(board, cost, predict(cost, 800, 100))), 'm-1');
  }));

test('of upstreams with as many requests, one whose answers end sooner is chosen', () =>
  withClock(async (clock) => {
    const board = createBoard(2);
    const cost = new PoolCost(DEFAULT_COSTS, true);
    begin(board, 'm-0', predict(cost, 800, 600));
    begin(board, 'm-1', predict(cost, 800, 20));
    await clock.tickAsync(200);
    assert.is(choose(board, createWeights(board, cost, predict(cost, 800, 100))), 'm-1');
  }));

test('an idle upstream is not chosen where a busier but faster one has shorter passes', () =>
  withClock(async (clock) => {
    const board = createBoard(2);
    const cost = new PoolCost(DEFAULT_COSTS, true);
    begin(board, 'm-1', predict(cost, 800, 100));
    begin(board, 'm-1', predict(cost, 800, 100));
    begin(board, 'm-1', predict(cost, 800, 100));
    board.findUpstream('m-0')?.noteSlowdown(2, performance.now());
    await clock.tickAsync(200);
    assert.is(choose(board, createWeights(board, cost, predict(cost, 800, 100))), 'm-1');
  }));

test('the own failure domain only breaks ties', () =>
  withClock(async (clock) => {
    const board = createBoard(2);
    const cost = new PoolCost(DEFAULT_COSTS, true);
    const weights = createWeights(board, cost, predict(cost, 800, 100));
    assert.is(choose(board, weights), 'm-0');
    begin(board, 'm-0', predict(cost, 800, 100));
    await clock.tickAsync(200);
    assert.is(choose(board, createWeights(board, cost, predict(cost, 800, 100))), 'm-1');
  }));

test('entries that choose at once on the same news do not all choose the same upstream', () =>
  withClock(() => {
    const entries = 12;
    const chosen = Array.from({ length: entries }, (_, at) => {
      const board = createBoard(72, `entry-${at}`);
      const cost = new PoolCost(DEFAULT_COSTS, true);
      board.upstreams.forEach(({ id }) => {
        if (id !== 'm-7') begin(board, id, predict(cost, 800, 100));
      });
      Array.from({ length: 40 }).forEach(() => cost.noteChoice(performance.now()));
      const weights = createWeights(board, cost, predict(cost, 800, 100), entries - 1);
      return choose(board, weights, new Random(at));
    });
    const most = chosen.filter((id) => id === 'm-7').length;
    assert.ok(most <= entries / 2, `${most} of ${entries} chose the one with the least work`);
  }));

test('a choice looks at a bounded number of upstreams, whatever the size of the pool', () =>
  withClock(() => {
    [72, 11_000].forEach((size) => {
      const board = createBoard(72);
      const upstreams = Array.from({ length: size }, (_, at) => board.upstreams[at % 72]);
      Object.assign(board, { listPool: () => upstreams });
      let weighed = 0;
      const weigh = () => {
        weighed += 1;
        return { costMs: weighed, marginalMs: 1 };
      };
      const query = createQuery({ weigh, unreported: 0 }, new Random(3));
      assert.ok(choosePlacement(board, query).upstream);
      assert.ok(weighed <= 72 && weighed > 20, `${weighed} of ${size}`);
    });
  }));

test('an excessive slowdown from a peer leaves placement working, and is forgotten', () =>
  withClock(async (clock) => {
    const board = createBoard(3);
    const cost = new PoolCost(DEFAULT_COSTS, false);
    const request = predict(cost, 800, 100);
    const upstream = board.findUpstream('m-0');
    board.listPool(POOL).forEach((each) => each.noteSlowdown(Number.MAX_VALUE, performance.now()));
    assert.ok(choose(board, createWeights(board, cost, request, 1)));
    await clock.tickAsync(FORGOTTEN_MS);
    assert.ok((upstream?.readRecentSlowdown(performance.now()) ?? 0) < 1.01);
  }));

test.run();
