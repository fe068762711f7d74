import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { OrderAction, OrderErrorKind } from '@radishbay/core/model/order.js';

import { StoreFault } from '../../src/platform/storeFault.js';
import { DrainJudge } from '../support/drainJudge.js';
import { inSequence } from '../support/inSequence.js';
import { DOMAINS, TestFleet } from '../support/testFleet.js';

const RUNS = 40;
const ENTRIES = 3;
const LOOK_MS = 100;
const HEAL_MS = 15_000;

/** Errors that promise that the order took no effect and never will. */
const NOT_TAKEN = [OrderErrorKind.Conflict, OrderErrorKind.PlatformUnavailable];

enum Act {
  Order = 'order',
  Read = 'read',
  Fault = 'fault',
  Cut = 'cut',
  Heal = 'heal',
  Freeze = 'freeze',
  Thaw = 'thaw',
  Replace = 'replace',
}

const STEP = fc.record({
  act: fc.constantFrom(
    ...new Array<Act>(5).fill(Act.Order),
    ...new Array<Act>(4).fill(Act.Freeze),
    ...new Array<Act>(3).fill(Act.Cut),
    ...Object.values(Act),
  ),
  entry: fc.nat({ max: ENTRIES - 1 }),
  other: fc.nat({ max: ENTRIES + DOMAINS.length - 1 }),
  domain: fc.constantFrom(...DOMAINS),
  isDrain: fc.boolean(),
  fault: fc.constantFrom(...Object.values(StoreFault)),
  spanMs: fc.oneof(fc.nat({ max: 300 }), fc.nat({ max: 2_000 }), fc.nat({ max: 7_000 })),
});

type Step = typeof STEP extends fc.Arbitrary<infer T> ? T : never;

/** One run: a fleet, its operators and the judge. */
class Run {
  readonly #fleet: TestFleet;

  readonly #judge: DrainJudge;

  readonly #faulted = new Set<number>();

  readonly #orderIds: string[] = [];

  readonly #notTaken: string[] = [];

  constructor(fleet: TestFleet) {
    this.#fleet = fleet;
    this.#judge = new DrainJudge(fleet);
  }

  async play(steps: readonly Step[]): Promise<readonly string[]> {
    await this.#advance(4_000);
    await inSequence(steps, async (step) => {
      this.#act(step);
      await this.#advance(step.spanMs);
    });
    this.#healAll();
    await this.#advance(HEAL_MS);
    this.#judge.checkEnd();
    const marks = this.#judge.listMarks();
    const liars = this.#notTaken.filter((id) => marks.has(id));
    return [...this.#judge.violations, ...liars.map((id) => `${id} was refused and took effect`)];
  }

  #act(step: Step): void {
    const { act, entry, other, fault } = step;
    const { node, store } = this.#fleet.entry(entry);
    const target = this.#nameNode(other);
    if (act === Act.Order) this.#order(step);
    if (act === Act.Read) this.#read(entry);
    if (act === Act.Cut) this.#fleet.network.cut(node, target);
    if (act === Act.Heal) this.#fleet.network.heal(node, target);
    if (act === Act.Freeze) this.#fleet.clock.freeze(target);
    if (act === Act.Thaw) this.#fleet.clock.thaw(target);
    if (act === Act.Replace) {
      this.#fleet.killEntry(entry);
      this.#fleet.startEntry(`entry-${entry}`);
      this.#faulted.delete(entry);
    }
    if (act !== Act.Fault) return;
    store.setFault(fault);
    if (fault === StoreFault.None) this.#faulted.delete(entry);
    else this.#faulted.add(entry);
  }

  #nameNode(index: number): string {
    return index < ENTRIES ? this.#fleet.entry(index).node : `worker-${index - ENTRIES}`;
  }

  #order({ entry, domain, isDrain }: Step): void {
    const id = `order-${this.#orderIds.length}`;
    this.#orderIds.push(id);
    const action = isDrain ? OrderAction.DrainDomain : OrderAction.RestoreDomain;
    const order = { action, target: domain, isForced: true };
    this.#fleet
      .entry(entry)
      .give(order, id)
      .then((given) => {
        if (!given.ok && NOT_TAKEN.includes(given.val.kind)) this.#notTaken.push(id);
      });
  }

  #read(entry: number): void {
    this.#orderIds.slice(-3).forEach((id) => {
      this.#fleet
        .entry(entry)
        .read(id)
        .then((read) => {
          if (read.ok) this.#judge.checkStatus(read.val);
        });
    });
  }

  #healAll(): void {
    const entries = [...this.#fleet.entries.values()];
    const nodes = [
      ...entries.map(({ node }) => node),
      ...this.#fleet.sides.map(({ node }) => node),
    ];
    nodes.forEach((one) => nodes.forEach((other) => this.#fleet.network.heal(one, other)));
    entries.forEach(({ store }) => store.setFault(StoreFault.None));
    nodes.forEach((node) => this.#fleet.clock.thaw(node));
    this.#faulted.clear();
  }

  async #advance(spanMs: number): Promise<void> {
    const looks = new Array<number>(Math.ceil(spanMs / LOOK_MS)).fill(LOOK_MS);
    await inSequence(looks, async (lookMs) => {
      await this.#fleet.advance(lookMs);
      this.#judge.look(this.#faulted.size < ENTRIES / 2);
      this.#read(0);
    });
  }
}

test('drains and restores end in the last accepted order, whatever fails', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(STEP, { minLength: 6, maxLength: 16 }),
      fc.nat({ max: 1_000 }),
      async (steps, seed) => {
        const fleet = new TestFleet(seed, ENTRIES);
        try {
          assert.equal(await new Run(fleet).play(steps), []);
        } finally {
          fleet.end();
        }
      },
    ),
    { numRuns: RUNS, seed: 11, endOnFailure: true },
  );
});

test.run();
