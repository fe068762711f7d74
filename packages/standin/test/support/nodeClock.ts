/**
 * Many nodes on one fake clock, each of which can be frozen, thawed and killed.
 *
 * Whatever a node does runs under its name (AsyncLocalStorage); its timers carry the name on. The
 * callbacks of a frozen node wait for its thaw, and an interval catches up once, as in a process
 * that was stopped and continued.
 */
import { AsyncLocalStorage } from 'node:async_hooks';

import { install, type Clock } from '@sinonjs/fake-timers';

type Work = () => void;

/** Fake clock with named nodes. */
export class NodeClock {
  readonly #nodes = new AsyncLocalStorage<string | undefined>();

  readonly #frozen = new Map<string, Work[]>();

  readonly #killed = new Set<string>();

  readonly #clock: Clock;

  #isEnded = false;

  constructor() {
    this.#clock = install();
    this.#wrapTimeouts();
    this.#wrapIntervals();
  }

  /** Lets time pass. */
  async advance(spanMs: number): Promise<void> {
    await this.#clock.tickAsync(spanMs);
  }

  /** Ends all nodes, so that nothing of them runs on the clock of a later test. */
  uninstall(): void {
    this.#isEnded = true;
    this.#clock.uninstall();
  }

  /** Runs work of a node: now, once it is thawed, or never. */
  run(node: string, work: Work): void {
    if (this.#isEnded || this.#killed.has(node)) return;
    const held = this.#frozen.get(node);
    if (held) held.push(work);
    else this.#nodes.run(node, work);
  }

  /** Runs what belongs to no node, such as the network and the platform. */
  outside<T>(work: () => T): T {
    return this.#nodes.run(undefined, work);
  }

  isFrozen(node: string): boolean {
    return this.#frozen.has(node);
  }

  freeze(node: string): void {
    if (!this.#frozen.has(node)) this.#frozen.set(node, []);
  }

  thaw(node: string): void {
    const held = this.#frozen.get(node) ?? [];
    this.#frozen.delete(node);
    held.forEach((work) => this.run(node, work));
  }

  /** Ends a node: nothing of it runs any more. */
  kill(node: string): void {
    this.#killed.add(node);
    this.#frozen.delete(node);
  }

  #wrapTimeouts(): void {
    const { setTimeout: start, clearTimeout: end } = globalThis;
    const live = new Set<unknown>();
    const wrapped = (callback: Work, delayMs?: number) => {
      const node = this.#nodes.getStore();
      const timer = start(() => {
        const fire = () => {
          if (live.delete(timer)) callback();
        };
        if (node === undefined) fire();
        else this.run(node, fire);
      }, delayMs);
      live.add(timer);
      return timer;
    };
    globalThis.setTimeout = wrapped as typeof globalThis.setTimeout;
    globalThis.clearTimeout = (timer) => {
      live.delete(timer);
      end(timer);
    };
  }

  #wrapIntervals(): void {
    const { setInterval: start, clearInterval: end } = globalThis;
    const live = new Set<unknown>();
    const wrapped = (callback: Work, delayMs?: number) => {
      const node = this.#nodes.getStore();
      let isPending = false;
      const timer = start(() => {
        if (isPending) return;
        isPending = true;
        const fire = () => {
          isPending = false;
          if (live.has(timer)) callback();
        };
        if (node === undefined) fire();
        else this.run(node, fire);
      }, delayMs);
      live.add(timer);
      return timer;
    };
    globalThis.setInterval = wrapped;
    globalThis.clearInterval = (timer) => {
      live.delete(timer);
      end(timer);
    };
  }
}
