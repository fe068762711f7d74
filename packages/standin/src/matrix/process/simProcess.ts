/**
 * A process of the simulated fleet: it can be frozen, thawed and killed at any moment.
 *
 * All nodes of a simulation share one JavaScript thread and one fake clock. Which process a timer
 * or an answer belongs to is told by the asynchronous context in which it was asked for.
 */
import { AsyncLocalStorage } from 'node:async_hooks';

export enum ProcessState {
  Running = 'RUNNING',
  Frozen = 'FROZEN',
  Dead = 'DEAD',
}

const CONTEXT = new AsyncLocalStorage<SimProcess>();

/** One process. */
export class SimProcess {
  static #caller: SimProcess | undefined;

  readonly name: string;

  #state = ProcessState.Running;

  /** What happened while the process was frozen, in order; the key joins repeats of one timer. */
  #held = new Map<symbol, () => void>();

  readonly #onDeath: (() => void)[] = [];

  constructor(name: string) {
    this.name = name;
  }

  /** The process whose code runs now; undefined in the harness and on the network. */
  static get current(): SimProcess | undefined {
    return CONTEXT.getStore();
  }

  /** Runs code that belongs to no process, such as the network's. */
  static outside<T>(action: () => T): T {
    return CONTEXT.exit(action);
  }

  /** Runs a call at an interface: outside of the process, but known as its doing. */
  call<T>(action: () => T): T {
    const before = SimProcess.#caller;
    SimProcess.#caller = this;
    try {
      return CONTEXT.exit(action);
    } finally {
      SimProcess.#caller = before;
    }
  }

  /** The process that makes the call at an interface that is being handled now. */
  static get caller(): SimProcess | undefined {
    return SimProcess.#caller;
  }

  get state(): ProcessState {
    return this.#state;
  }

  /** Runs code of this process. */
  run<T>(action: () => T): T {
    return CONTEXT.run(this, action);
  }

  /**
   * Delivers something to the process: at once, after the thaw, or never.
   *
   * @param key repeats under one key are delivered once after a thaw, as a timer's are
   */
  post(action: () => void, key = Symbol('post')): void {
    if (this.#state === ProcessState.Frozen) this.#held.set(key, action);
    else if (this.#state === ProcessState.Running) this.run(action);
  }

  freeze(): void {
    if (this.#state === ProcessState.Running) this.#state = ProcessState.Frozen;
  }

  /** Goes on with everything that came meanwhile. */
  thaw(): void {
    if (this.#state !== ProcessState.Frozen) return;
    this.#state = ProcessState.Running;
    const held = [...this.#held.values()];
    this.#held = new Map();
    held.forEach((action) => this.post(action));
  }

  /** Ends the process; its connections are closed by the listeners of its death. */
  kill(): void {
    if (this.#state === ProcessState.Dead) return;
    this.#state = ProcessState.Dead;
    this.#held.clear();
    this.#onDeath.splice(0).forEach((listener) => SimProcess.outside(listener));
  }

  onDeath(listener: () => void): void {
    this.#onDeath.push(listener);
  }
}
