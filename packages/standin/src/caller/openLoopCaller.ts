/**
 * Calls at times that do not depend on the answers: Poisson arrivals from a seed.
 *
 * Latency counts from the time at which a call was due, so that a stall shows in full, also in the
 * calls that could only be made after it (no coordinated omission).
 */
import { Agent } from 'node:http';
import { performance } from 'node:perf_hooks';

import { Random } from '@radishbay/core/ports/random.js';

import { planCall, type CallShape } from './callPlan.js';
import type { CallResult } from './callResult.js';
import { CallerReport } from './callerReport.js';
import { HttpCallRun, type CallTarget } from './httpCallRun.js';

const MS_PER_SECOND = 1_000;

export interface OpenLoopOptions {
  /** Addresses that take turns, as behind a balancer. */
  readonly baseUrls: readonly string[];
  /** Headers of every call, such as the workspace's key. */
  readonly headers: Readonly<Record<string, string>>;
  readonly seed: number;
  readonly ratePerSecond: number;
  /** Time in which calls are due; the run ends when the last of them has ended. */
  readonly durationMs: number;
  /** Longest that one call may take. */
  readonly timeoutMs: number;
  readonly shapes: readonly CallShape[];
  /** Hears of each result. */
  readonly onResult?: (result: CallResult) => void;
}

/** Draws a time between arrivals of a Poisson process, by inversion of its distribution. */
export function drawIntervalMs(random: Random, ratePerSecond: number): number {
  return (-Math.log(1 - random.next()) * MS_PER_SECOND) / ratePerSecond;
}

/** Draws one shape by the weights. */
export function drawShape(random: Random, shapes: readonly CallShape[]): CallShape {
  const total = shapes.reduce((sum, shape) => sum + shape.weight, 0);
  let left = random.next() * total;
  const drawn = shapes.find((shape) => {
    left -= shape.weight;
    return left < 0;
  });
  const shape = drawn ?? shapes[shapes.length - 1];
  if (!shape) throw new Error('a caller needs at least one shape of call');
  return shape;
}

/** Makes the calls of one run. */
export class OpenLoopCaller {
  readonly #options: OpenLoopOptions;

  readonly #random: Random;

  readonly #agent = new Agent({ keepAlive: true });

  readonly #report = new CallerReport();

  #startMs = 0;

  /** Time after the start at which the next call is due. */
  #nextMs = 0;

  #madeCount = 0;

  #openCount = 0;

  #onIdle: (() => void) | undefined;

  constructor(options: OpenLoopOptions) {
    this.#options = options;
    this.#random = new Random(options.seed);
  }

  /** Makes all calls and waits for the last of them. */
  async run(): Promise<CallerReport> {
    this.#startMs = performance.now();
    this.#nextMs = drawIntervalMs(this.#random, this.#options.ratePerSecond);
    await new Promise<void>((resolve) => {
      this.#onIdle = resolve;
      this.#schedule();
    });
    this.#agent.destroy();
    return this.#report;
  }

  get #isOver(): boolean {
    return this.#nextMs > this.#options.durationMs;
  }

  #schedule(): void {
    this.#finishIfIdle();
    if (this.#isOver) return;
    const delayMs = this.#startMs + this.#nextMs - performance.now();
    setTimeout(
      () => {
        this.#makeDueCalls();
        this.#schedule();
      },
      Math.max(0, delayMs),
    );
  }

  #makeDueCalls(): void {
    while (!this.#isOver && this.#startMs + this.#nextMs <= performance.now()) {
      this.#makeCall(this.#startMs + this.#nextMs);
      this.#nextMs += drawIntervalMs(this.#random, this.#options.ratePerSecond);
    }
  }

  #makeCall(dueMs: number): void {
    const index = this.#madeCount;
    this.#madeCount += 1;
    this.#openCount += 1;
    const shape = drawShape(this.#random, this.#options.shapes);
    const call = planCall(shape, `${this.#options.seed}-${index}`, index);
    // eslint-disable-next-line no-new -- the run reports by its listener
    new HttpCallRun(this.#chooseTarget(index), call, dueMs, (result) => this.#settle(result));
  }

  #chooseTarget(index: number): CallTarget {
    const { baseUrls, headers, timeoutMs } = this.#options;
    const baseUrl = baseUrls[index % baseUrls.length];
    if (baseUrl === undefined) throw new Error('a caller needs at least one address');
    return { baseUrl, headers, timeoutMs, agent: this.#agent };
  }

  #settle(result: CallResult): void {
    this.#openCount -= 1;
    this.#report.add(result);
    this.#options.onResult?.(result);
    this.#finishIfIdle();
  }

  #finishIfIdle(): void {
    if (this.#isOver && this.#openCount === 0) this.#onIdle?.();
  }
}
