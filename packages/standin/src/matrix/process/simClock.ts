/**
 * The fake clock of a simulation, on which every timer belongs to the process that set it.
 *
 * It advances timer by timer and lets all promises settle in between, so that a run depends on its
 * seed alone.
 */
import { install } from '@sinonjs/fake-timers';

import { SimProcess } from './simProcess.js';

const REAL_SET_IMMEDIATE = setImmediate;

/** Turns of the real event loop after each timer, for promises that hang on each other. */
const SETTLE_TURNS = 1;

type Callback = (...args: unknown[]) => void;
type Scheduler = (callback: Callback, ...rest: unknown[]) => unknown;

/** Makes a scheduling function tie its callbacks to the process that calls it. */
function tieToProcess(schedule: Scheduler): Scheduler {
  return (callback, ...rest) => {
    const owner = SimProcess.current;
    if (!owner) return schedule(callback, ...rest);
    const key = Symbol('timer');
    return schedule((...args) => owner.post(() => callback(...args), key), ...rest);
  };
}

function settle(turns: number = SETTLE_TURNS): Promise<void> {
  return new Promise((resolve) => {
    REAL_SET_IMMEDIATE(() => {
      if (turns > 1) settle(turns - 1).then(resolve, resolve);
      else resolve();
    });
  });
}

/** A running fake clock. */
export class SimClock {
  readonly #clock: ReturnType<typeof install>;

  constructor(startMs: number) {
    this.#clock = install({
      now: startMs,
      toFake: [
        'setTimeout',
        'clearTimeout',
        'setInterval',
        'clearInterval',
        'setImmediate',
        'clearImmediate',
        'Date',
        'performance',
        'hrtime',
      ],
    });
    const scope = globalThis as unknown as Record<string, Scheduler>;
    ['setTimeout', 'setInterval', 'setImmediate'].forEach((name) => {
      const schedule = scope[name];
      if (schedule) scope[name] = tieToProcess(schedule);
    });
  }

  /** Timers that are set now. */
  get timerCount(): number {
    return this.#clock.countTimers();
  }

  /** Advances by a span. */
  async advance(spanMs: number): Promise<void> {
    let isOver = false;
    SimProcess.outside(() => {
      setTimeout(() => {
        isOver = true;
      }, spanMs);
    });
    await settle();
    await this.#runUntil(() => isOver);
  }

  /**
   * Advances until a condition holds.
   *
   * @returns whether it held within the limit
   */
  async advanceUntil(isDone: () => boolean, limitMs: number): Promise<boolean> {
    let isOver = false;
    const timer = SimProcess.outside(() =>
      setTimeout(() => {
        isOver = true;
      }, limitMs),
    );
    await settle();
    await this.#runUntil(() => isOver || isDone());
    clearTimeout(timer);
    return isDone();
  }

  /** Gives the real clock back. */
  dispose(): void {
    this.#clock.uninstall();
  }

  async #runUntil(isDone: () => boolean): Promise<void> {
    while (!isDone()) {
      this.#clock.next();
      // eslint-disable-next-line no-await-in-loop -- one timer after the other is the point
      await settle();
    }
  }
}
