/** Routing by forecast cost: load, prefixes, domains, weights, and entries with old reports. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { Random } from '../../src/ports/random.js';
import { countEnded } from '../../src/routing/upstreamState.js';
import { WeightSource } from '../../src/routing/weightSource.js';
import type { EntryBoard, UpstreamState } from '../../src/state/entryBoard.js';

import { createBlocks, RoutingFixture } from './routingFixture.js';

const TWO_UPSTREAMS = { a: 'zone-a', b: 'zone-a' };

function countBy(names: readonly string[]): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  names.forEach((name) => {
    counts[name] = (counts[name] ?? 0) + 1;
  });
  return counts;
}

/** Fixed weights by upstream; 1 if none is given. */
class FixedWeights extends WeightSource {
  readonly #weights: Readonly<Record<string, number>>;

  constructor(weights: Readonly<Record<string, number>>) {
    super();
    this.#weights = weights;
  }

  override readWeight(_board: EntryBoard, upstream: UpstreamState): number {
    return this.#weights[upstream.name] ?? 1;
  }
}

test('attempts sent since the last report count as load', () => {
  const entry = new RoutingFixture(TWO_UPSTREAMS);
  entry.report('a', { inFlight: 4 });
  const chosen = Array.from({ length: 12 }, () => entry.send());
  assert.equal(countBy(chosen), { a: 4, b: 8 });
});

test('an attempt that ended frees capacity before the next report', () => {
  const entry = new RoutingFixture(TWO_UPSTREAMS);
  ['a', 'a', 'b', 'b'].forEach((name) => entry.sendTo(name));
  ['a', 'b'].forEach((name) => entry.report(name, { inFlight: 2 }));
  countEnded(entry.board, 'b');
  assert.is(entry.choose(), 'b');
});

test('an upstream with three times the step time gets a third as many attempts', () => {
  const entry = new RoutingFixture(TWO_UPSTREAMS);
  entry.report('b', { stepMs: 60 });
  const counts = countBy(Array.from({ length: 12 }, () => entry.send()));
  assert.equal(counts, { a: 9, b: 3 });
});

test('a prompt is sent to the upstream that has its prefix cached', () => {
  const entry = new RoutingFixture(TWO_UPSTREAMS);
  const prefixHashes = createBlocks('score', 20);
  const events = [{ sequence: 1, isStored: true, blockHashes: [...prefixHashes] }];
  entry.applyEvents('b', 'e1', events);
  const chosen = Array.from({ length: 10 }, () => entry.choose({ prefixHashes }));
  assert.equal(countBy(chosen), { b: 10 });
});

test('a prompt is sent to the same upstream again before any cache event arrives', () => {
  const entry = new RoutingFixture(TWO_UPSTREAMS);
  const prefixHashes = createBlocks('score', 20);
  entry.sendTo('b', { prefixHashes });
  assert.is(entry.choose({ prefixHashes }), 'b');
});

test('a short cached prefix does not outweigh a batch that is nearly full', () => {
  const entry = new RoutingFixture(TWO_UPSTREAMS);
  const prefixHashes = createBlocks('score', 10);
  entry.sendTo('b', { prefixHashes });
  entry.report('b', { inFlight: 14 });
  assert.is(entry.choose({ prefixHashes }), 'a');
});

test('a restarted engine has an empty prefix cache', () => {
  const entry = new RoutingFixture(TWO_UPSTREAMS);
  const prefixHashes = createBlocks('score', 20);
  entry.applyEvents('b', 'e1', [{ sequence: 5, isStored: true, blockHashes: [...prefixHashes] }]);
  entry.applyEvents('b', 'e2', []);
  entry.report('b', { inFlight: 1 });
  assert.is(entry.choose({ prefixHashes }), 'a');
});

test('a removal event that arrives late does not undo a newer event', () => {
  const entry = new RoutingFixture(TWO_UPSTREAMS);
  const prefixHashes = createBlocks('score', 20);
  const blockHashes = [...prefixHashes];
  entry.applyEvents('b', 'e1', [{ sequence: 9, isStored: true, blockHashes }]);
  entry.applyEvents('b', 'e1', [{ sequence: 8, isStored: false, blockHashes }]);
  entry.report('b', { inFlight: 1 });
  assert.is(entry.choose({ prefixHashes }), 'b');
});

test('a gap in the sequence of cache events is counted', () => {
  const entry = new RoutingFixture(TWO_UPSTREAMS);
  [3, 4, 6].forEach((sequence) => {
    entry.applyEvents('a', 'e1', [{ sequence, isStored: true, blockHashes: ['x'] }]);
  });
  assert.is(entry.metrics.readCount('routing.cache-event-gap'), 1);
});

test('the local domain is preferred, and another one is used if it is faster', () => {
  const entry = new RoutingFixture({ far: 'zone-b', near: 'zone-a' });
  const idle = Array.from({ length: 10 }, () => entry.choose());
  entry.report('near', { inFlight: 2 });
  assert.equal(countBy([...idle, entry.choose()]), { near: 10, far: 1 });
});

test('an avoided domain is used only if no other has an available upstream', () => {
  const entry = new RoutingFixture({ far: 'zone-b', near: 'zone-a' });
  const avoidedDomains = new Set(['zone-a']);
  const excludedUpstreams = new Set(['far']);
  const chosen = [
    entry.choose({ avoidedDomains }),
    entry.choose({ avoidedDomains, excludedUpstreams }),
  ];
  assert.equal(chosen, ['far', 'near']);
});

test('an upstream whose link closes is no longer chosen', () => {
  const entry = new RoutingFixture(TWO_UPSTREAMS);
  entry.report('b', { inFlight: 9 });
  const before = entry.choose();
  entry.getUpstream('a').link?.close('lost');
  assert.equal([before, entry.choose()], ['a', 'b']);
});

test('load is proportional to the product of the weights', () => {
  const weights = [new FixedWeights({ b: 0.5 }), new FixedWeights({ b: 0.5 })];
  const entry = new RoutingFixture(TWO_UPSTREAMS, { weights });
  const counts = countBy(Array.from({ length: 15 }, () => entry.send()));
  assert.equal(counts, { a: 12, b: 3 });
});

test('an upstream of weight 0 is used only if the others are full', () => {
  const entry = new RoutingFixture(TWO_UPSTREAMS, { weights: [new FixedWeights({ b: 0 })] });
  const counts = countBy(Array.from({ length: 17 }, () => entry.send()));
  assert.equal(counts, { a: 16, b: 1 });
});

test('a full upstream is chosen last, however fast it is', () => {
  const entry = new RoutingFixture(TWO_UPSTREAMS);
  entry.report('a', { inFlight: 15, stepMs: 90 });
  entry.report('b', { inFlight: 16, stepMs: 10 });
  assert.is(entry.choose(), 'a');
});

test('many entries with the same old report do not all choose the same upstream', () => {
  const domains = { a: 'zone-a', b: 'zone-a', c: 'zone-a', d: 'zone-a' };
  const chosen = Array.from({ length: 16 }, (_, seed) => {
    const entry = new RoutingFixture(domains, { random: new Random(seed) });
    entry.addPeers(15);
    Array.from({ length: 20 }, () => entry.choose());
    ['b', 'c', 'd'].forEach((name) => entry.report(name, { inFlight: 1 }));
    entry.nowMs = 200;
    return entry.choose();
  });
  assert.ok((countBy(chosen).a ?? 0) < 12, `${countBy(chosen).a} of 16 chose the same`);
});

test.run();
