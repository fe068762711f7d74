import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { OrderAction, OrderErrorKind } from '@radishbay/core/model/order.js';

import { StoreFault } from '../../src/platform/storeFault.js';
import { DrainChecker } from '../support/drainChecker.js';
import { inSequence } from '../support/inSequence.js';
import { DOMAINS, TestFleet } from '../support/testFleet.js';

const RUNS = 40;
const ENTRIES = 3;
const CHECK_INTERVAL_MS = 100;
const RECOVERY_MS = 15_000;

/** Errors that guarantee that the order did not and will not take effect. */
const NOT_APPLIED = [OrderErrorKind.Conflict, OrderErrorKind.PlatformUnavailable];

enum StepKind {
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
    ...new Array<StepKind>(5).fill(StepKind.Order),
    ...new Array<StepKind>(4).fill(StepKind.Freeze),
    ...new Array<StepKind>(3).fill(StepKind.Cut),
    ...Object.values(StepKind),
  ),
  entry: fc.nat({ max: ENTRIES - 1 }),
  other: fc.nat({ max: ENTRIES + DOMAINS.length - 1 }),
  domain: fc.constantFrom(...DOMAINS),
  isDrain: fc.boolean(),
  fault: fc.constantFrom(...Object.values(StoreFault)),
  spanMs: fc.oneof(fc.nat({ max: 300 }), fc.nat({ max: 2_000 }), fc.nat({ max: 7_000 })),
});

type Step = typeof STEP extends fc.Arbitrary<infer T> ? T : never;

/** One run of a fleet with orders and faults, and the checker of its guarantees. */
class Run {
  readonly #fleet: TestFleet;

  readonly #checker: DrainChecker;

  readonly #faulted = new Set<number>();

  readonly #orderIds: string[] = [];

  readonly #refusedIds: string[] = [];

  constructor(fleet: TestFleet) {
    this.#fleet = fleet;
    this.#checker = new DrainChecker(fleet);
  }

  async play(steps: readonly Step[]): Promise<readonly string[]> {
    await this.#advance(4_000);
    await inSequence(steps, async (step) => {
      this.#runStep(step);
      await this.#advance(step.spanMs);
    });
    this.#healAll();
    await this.#advance(RECOVERY_MS);
    this.#checker.checkEnd();
    const marks = this.#checker.listMarks();
    const appliedIds = this.#refusedIds.filter((id) => marks.has(id));
    return [
      ...this.#checker.violations,
      ...appliedIds.map((id) => `${id} was refused and took effect`),
    ];
  }

  #runStep(step: Step): void {
    const { act, entry, other, fault } = step;
    const { node, store } = this.#fleet.entry(entry);
    const target = this.#nameNode(other);
    if (act === StepKind.Order) this.#giveOrder(step);
    if (act === StepKind.Read) this.#readOrders(entry);
    if (act === StepKind.Cut) this.#fleet.network.cut(node, target);
    if (act === StepKind.Heal) this.#fleet.network.heal(node, target);
    if (act === StepKind.Freeze) this.#fleet.clock.freeze(target);
    if (act === StepKind.Thaw) this.#fleet.clock.thaw(target);
    if (act === StepKind.Replace) {
      this.#fleet.killEntry(entry);
      this.#fleet.startEntry(`entry-${entry}`);
      this.#faulted.delete(entry);
    }
    if (act !== StepKind.Fault) return;
    store.setFault(fault);
    if (fault === StoreFault.None) this.#faulted.delete(entry);
    else this.#faulted.add(entry);
  }

  #nameNode(index: number): string {
    return index < ENTRIES ? this.#fleet.entry(index).node : `worker-${index - ENTRIES}`;
  }

  #giveOrder({ entry, domain, isDrain }: Step): void {
    const id = `order-${this.#orderIds.length}`;
    this.#orderIds.push(id);
    const action = isDrain ? OrderAction.DrainDomain : OrderAction.RestoreDomain;
    const order = { action, target: domain, isForced: true };
    this.#fleet
      .entry(entry)
      .give(order, id)
      .then((given) => {
        if (!given.ok && NOT_APPLIED.includes(given.val.kind)) this.#refusedIds.push(id);
      });
  }

  #readOrders(entry: number): void {
    this.#orderIds.slice(-3).forEach((id) => {
      this.#fleet
        .entry(entry)
        .read(id)
        .then((read) => {
          if (read.ok) this.#checker.checkStatus(read.val);
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
    const intervals = new Array<number>(Math.ceil(spanMs / CHECK_INTERVAL_MS)).fill(
      CHECK_INTERVAL_MS,
    );
    await inSequence(intervals, async (intervalMs) => {
      await this.#fleet.advance(intervalMs);
      this.#checker.checkVersions(this.#faulted.size < ENTRIES / 2);
      this.#readOrders(0);
    });
  }
}

test('drains and restores keep their guarantees under faults and end in the last accepted order', async () => {
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
