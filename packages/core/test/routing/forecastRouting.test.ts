/** Routing by forecast: load, prefixes, domains, weights, and many entries with old reports. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { Random } from '../../src/ports/random.js';
import { countEnded } from '../../src/routing/upstreamState.js';
import { WeightSource } from '../../src/routing/weightSource.js';
import type { EntryBoard, UpstreamState } from '../../src/state/entryBoard.js';

import { createBlocks, RoutingFixture } from './routingFixture.js';

const TWO = { a: 'zone-a', b: 'zone-a' };

function countBy(names: readonly string[]): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  names.forEach((name) => {
    counts[name] = (counts[name] ?? 0) + 1;
  });
  return counts;
}

/** Weights by upstream, 1 where none is named. */
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

test('what was sent since the report counts as load', () => {
  const entry = new RoutingFixture(TWO);
  entry.report('a', { inFlight: 4 });
  const chosen = Array.from({ length: 12 }, () => entry.send());
  assert.equal(countBy(chosen), { a: 4, b: 8 });
});

test('an attempt that ended makes room before the next report', () => {
  const entry = new RoutingFixture(TWO);
  ['a', 'a', 'b', 'b'].forEach((name) => entry.sendTo(name));
  ['a', 'b'].forEach((name) => entry.report(name, { inFlight: 2 }));
  countEnded(entry.board, 'b');
  assert.is(entry.choose(), 'b');
});

test('an upstream twice as slow gets about half as much', () => {
  const entry = new RoutingFixture(TWO);
  entry.report('b', { stepMs: 60 });
  const counts = countBy(Array.from({ length: 12 }, () => entry.send()));
  assert.equal(counts, { a: 9, b: 3 });
});

test('a prompt goes where its prefix is held', () => {
  const entry = new RoutingFixture(TWO);
  const prefixHashes = createBlocks('score', 20);
  const events = [{ sequence: 1, isStored: true, blockHashes: [...prefixHashes] }];
  entry.readEvents('b', 'e1', events);
  const chosen = Array.from({ length: 10 }, () => entry.choose({ prefixHashes }));
  assert.equal(countBy(chosen), { b: 10 });
});

test('a prompt goes where it was sent before any event tells of it', () => {
  const entry = new RoutingFixture(TWO);
  const prefixHashes = createBlocks('score', 20);
  entry.sendTo('b', { prefixHashes });
  assert.is(entry.choose({ prefixHashes }), 'b');
});

test('a short prefix that is held does not outweigh a batch that is nearly full', () => {
  const entry = new RoutingFixture(TWO);
  const prefixHashes = createBlocks('score', 10);
  entry.sendTo('b', { prefixHashes });
  entry.report('b', { inFlight: 14 });
  assert.is(entry.choose({ prefixHashes }), 'a');
});

test('a new engine process holds nothing', () => {
  const entry = new RoutingFixture(TWO);
  const prefixHashes = createBlocks('score', 20);
  entry.readEvents('b', 'e1', [{ sequence: 5, isStored: true, blockHashes: [...prefixHashes] }]);
  entry.readEvents('b', 'e2', []);
  entry.report('b', { inFlight: 1 });
  assert.is(entry.choose({ prefixHashes }), 'a');
});

test('a removal that comes late does not undo a newer event', () => {
  const entry = new RoutingFixture(TWO);
  const prefixHashes = createBlocks('score', 20);
  const blockHashes = [...prefixHashes];
  entry.readEvents('b', 'e1', [{ sequence: 9, isStored: true, blockHashes }]);
  entry.readEvents('b', 'e1', [{ sequence: 8, isStored: false, blockHashes }]);
  entry.report('b', { inFlight: 1 });
  assert.is(entry.choose({ prefixHashes }), 'b');
});

test('a gap among cache events is counted', () => {
  const entry = new RoutingFixture(TWO);
  [3, 4, 6].forEach((sequence) => {
    entry.readEvents('a', 'e1', [{ sequence, isStored: true, blockHashes: ['x'] }]);
  });
  assert.is(entry.metrics.readCount('routing.cache-event-gap'), 1);
});

test('the near domain is first, and another one is used where it is faster', () => {
  const entry = new RoutingFixture({ far: 'zone-b', near: 'zone-a' });
  const idle = Array.from({ length: 10 }, () => entry.choose());
  entry.report('near', { inFlight: 2 });
  assert.equal(countBy([...idle, entry.choose()]), { near: 10, far: 1 });
});

test('an avoided domain is used only where no other takes work', () => {
  const entry = new RoutingFixture({ far: 'zone-b', near: 'zone-a' });
  const avoidedDomains = new Set(['zone-a']);
  const excludedUpstreams = new Set(['far']);
  const chosen = [
    entry.choose({ avoidedDomains }),
    entry.choose({ avoidedDomains, excludedUpstreams }),
  ];
  assert.equal(chosen, ['far', 'near']);
});

test('an upstream that closes is not chosen from that moment on', () => {
  const entry = new RoutingFixture(TWO);
  entry.report('b', { inFlight: 9 });
  const before = entry.choose();
  entry.read('a').link?.close('lost');
  assert.equal([before, entry.choose()], ['a', 'b']);
});

test('load follows the product of the weights', () => {
  const weights = [new FixedWeights({ b: 0.5 }), new FixedWeights({ b: 0.5 })];
  const entry = new RoutingFixture(TWO, { weights });
  const counts = countBy(Array.from({ length: 15 }, () => entry.send()));
  assert.equal(counts, { a: 12, b: 3 });
});

test('an upstream of weight 0 is used only where the others are full', () => {
  const entry = new RoutingFixture(TWO, { weights: [new FixedWeights({ b: 0 })] });
  const counts = countBy(Array.from({ length: 17 }, () => entry.send()));
  assert.equal(counts, { a: 16, b: 1 });
});

test('an upstream that would refuse comes last, however fast it is', () => {
  const entry = new RoutingFixture(TWO);
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
