/**
 * Goodput under overload and recovery after it: two entries and two upstreams, each of which runs
 * 8 attempts at once for 500 ms each.
 *
 * Arrivals are open-loop and Poisson; requests have a deadline of 2 s. FIGURES=1 prints the counts.
 */
import { install } from '@sinonjs/fake-timers';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { Random } from '../../src/ports/random.js';

import { EntryFixture } from './entryFixture.js';
import type { FakeCaller } from './fakeCaller.js';
import { checkIdle, type TestClock } from './scenario.js';

const SERVICE_MS = 500;

/** Attempts that each upstream runs at once. */
const LIMIT = 8;

const CAPACITY_PER_SECOND = (2 * LIMIT * 1_000) / SERVICE_MS;

const REPORT_MS = 250;

const STEP_MS = 5;

interface Arrival {
  readonly atMs: number;
  readonly caller: FakeCaller;
}

function report(entry: EntryFixture): void {
  entry.sides.forEach((side, name) =>
    entry.report(name, { inFlight: side.runningCount, limit: LIMIT }),
  );
}

/** Sends requests to the entries and steps the fleet through time. */
class LoadRun {
  readonly arrivals: Arrival[] = [];

  readonly entries: readonly EntryFixture[];

  readonly #clock: TestClock;

  readonly #random = new Random(3);

  /** Times at which running attempts end, by attempt id. */
  readonly #endings = new Map<string, number>();

  constructor(clock: TestClock) {
    this.#clock = clock;
    const first = new EntryFixture();
    const second = new EntryFixture('entry-2', first.store, new Map(first.sides));
    this.entries = [first, second];
    first.sides.forEach((side) => Object.assign(side, { limit: LIMIT }));
  }

  /** Runs for a time under a load, given as a multiple of the capacity. */
  async run(load: number, spanMs: number): Promise<void> {
    const endsAtMs = Date.now() + spanMs;
    while (Date.now() < endsAtMs) {
      this.#sendRequest((load * CAPACITY_PER_SECOND * STEP_MS) / 1_000);
      // eslint-disable-next-line no-await-in-loop -- the clock advances step by step
      await this.#step();
    }
  }

  /** Counts the requests of a time span by whether they were answered in time. */
  count(fromMs: number, toMs: number): { answered: number; others: number } {
    const arrivals = this.arrivals.filter(({ atMs }) => atMs >= fromMs && atMs < toMs);
    const answered = arrivals.filter(({ caller }) => caller.ends[0] === 'end').length;
    return { answered, others: arrivals.length - answered };
  }

  async #step(): Promise<void> {
    this.entries.forEach((entry) => entry.deliver());
    this.entries.forEach((entry) => this.#answer(entry));
    if (Date.now() % REPORT_MS === 0) this.entries.forEach(report);
    await this.#clock.tickAsync(STEP_MS);
  }

  /** @param expected mean number of arrivals in this step, well below 1 */
  #sendRequest(expected: number): void {
    if (this.#random.next() >= expected) return;
    const entry = this.entries[this.#random.nextInt(2)] as EntryFixture;
    const caller = entry.request({ deadlineMs: 2_000 });
    this.arrivals.push({ atMs: Date.now(), caller });
  }

  #answer(entry: EntryFixture): void {
    entry.sides.forEach((side, name) => {
      side.listRunning(entry.board.name).forEach((id) => {
        const endsAtMs = this.#endings.get(id) ?? Date.now() + SERVICE_MS;
        this.#endings.set(id, endsAtMs);
        if (Date.now() >= endsAtMs) entry.receive(name, side.finishOne(id));
      });
    });
  }
}

/** Figures of a run under a load, followed by a load of half the capacity. */
interface LoadFigures {
  /** Requests answered in time, as a share of the capacity. */
  readonly goodput: number;
  /** Unanswered requests among those that arrived 2 s or more after the load fell. */
  readonly failedAfter: number;
  /** Requests that were accepted but ended at their deadlines. */
  readonly late: number;
  /** Attempts that were refused by a full upstream and retried. */
  readonly gateRefusals: number;
}

function sumCounts(run: LoadRun, name: string): number {
  return run.entries.reduce((sum, entry) => sum + (entry.counts.get(name) ?? 0), 0);
}

async function measureLoad(load: number): Promise<LoadFigures> {
  const clock = install({ toNotFake: ['nextTick', 'queueMicrotask', 'setImmediate'] });
  try {
    const run = new LoadRun(clock);
    await run.run(load, 12_000);
    await run.run(0.5, 8_000);
    await run.run(0, 3_000);
    run.entries.forEach(checkIdle);
    const goodput = run.count(1_000, 11_000).answered / (10 * CAPACITY_PER_SECOND);
    const failedAfter = run.count(14_000, 20_000).others;
    const late = sumCounts(run, 'request.refused deadline-passed');
    const gateRefusals = sumCounts(run, 'request.retried refused-by-side');
    const figures = { goodput, failedAfter, late, gateRefusals };
    if (process.env.FIGURES) process.stdout.write(`${load} ${JSON.stringify(figures)}\n`);
    return figures;
  } finally {
    clock.uninstall();
  }
}

test('goodput holds under overload, and all requests succeed again 2 s after it', async () => {
  const normal = await measureLoad(0.8);
  assert.ok(normal.goodput > 0.75);
  const double = await measureLoad(2);
  const fourfold = await measureLoad(4);
  assert.ok(double.goodput > 0.9);
  assert.ok(fourfold.goodput > 0.9);
  assert.ok(fourfold.late < 10);
  assert.ok(normal.gateRefusals < 30);
  assert.equal(
    [normal, double, fourfold].map(({ failedAfter }) => failedAfter),
    [0, 0, 0],
  );
});

test.run();
