/** In-memory engine: counts executions, records overload, and reports with a configurable lag. */
import * as assert from 'uvu/assert';

import type { CacheEvent, EngineReport } from '../../src/model/report.js';
import { Err, Ok, type Result } from '../../src/outcome.js';
import {
  Engine,
  EngineFailureKind,
  EngineOrderErrorKind,
  type EngineCall,
  type EngineEvents,
  type EngineOrder,
  type EngineOrderError,
  type EngineRun,
} from '../../src/ports/engine.js';

/** Factor by which the time to first byte of a cold engine is longer. */
const COLD_SLOWDOWN_FACTOR = 8;

/** Time until a cancelled call stops running in the engine. */
const CANCEL_DELAY_MS = 5;

interface Snapshot {
  readonly atMs: number;
  readonly report: EngineReport;
}

export interface ActiveCall {
  readonly call: EngineCall;
  events: EngineEvents;
  readonly response: Uint8Array;
  sentBytes: number;
  isPaused: boolean;
  timer: NodeJS.Timeout | undefined;
}

/** Response bytes of an attempt; they differ between attempts. */
export function makeResponse(attemptId: string, byteCount: number): Uint8Array {
  const text = `${attemptId}/`.repeat(Math.ceil(byteCount / (attemptId.length + 1)));
  return new TextEncoder().encode(text).subarray(0, byteCount);
}

function ignore(): void {}

const IGNORED_EVENTS: EngineEvents = {
  onHead: ignore,
  onData: ignore,
  onEnd: ignore,
  onFailure: ignore,
  onFault: ignore,
};

function failCall(events: EngineEvents, kind: EngineFailureKind): EngineRun {
  setTimeout(() => events.onFailure({ kind, detail: kind }), 1);
  return { cancel: ignore, pause: ignore, resume: ignore };
}

/** Asserts that a response is the expected one, without printing the bytes. */
export function assertResponse(actual: Uint8Array, attemptId: string, byteCount: number): void {
  assert.is(actual.length, byteCount);
  assert.is(Buffer.compare(actual, makeResponse(attemptId, byteCount)), 0);
}

/** Behaviour of the engine. */
export interface EngineSetup {
  readonly firstByteMs: number;
  readonly chunkMs: number;
  readonly chunkBytes: number;
  readonly responseBytes: number;
  readonly reportLagMs: number;
  readonly coldLimit: number;
  readonly warmLimit: number;
  /** Warmth claimed in reports if it differs from the real one. */
  readonly claimsWarm: boolean | undefined;
  readonly isReportFailing: boolean;
  readonly isReportHanging: boolean;
  /** Failure with which all calls end; none if undefined. */
  readonly failure: EngineFailureKind | undefined;
  /** Errors of orders, by index of the order from 0; later orders succeed. */
  readonly orderErrors: readonly EngineOrderErrorKind[];
  readonly orderMs: number;
  /** Requests per second that it names in its answers; none if undefined. */
  readonly requestLimitPerS: number | undefined;
}

const DEFAULT_SETUP: EngineSetup = {
  firstByteMs: 50,
  chunkMs: 20,
  chunkBytes: 10,
  responseBytes: 30,
  reportLagMs: 0,
  coldLimit: 2,
  warmLimit: 8,
  claimsWarm: undefined,
  isReportFailing: false,
  isReportHanging: false,
  failure: undefined,
  orderErrors: [],
  orderMs: 10,
  requestLimitPerS: undefined,
};

export class FakeEngine extends Engine {
  #setup: EngineSetup = DEFAULT_SETUP;

  isWarm = true;

  turnedColdAtMs = Number.NEGATIVE_INFINITY;

  readonly orders: EngineOrder[] = [];

  /** Number of executions, by attempt id. */
  readonly executions = new Map<string, number>();

  /** For each call started above the capacity: time since the engine turned cold, in ms. */
  readonly overruns: number[] = [];

  readonly cancelled: string[] = [];

  pauseCount = 0;

  resumeCount = 0;

  readonly #active = new Map<number, ActiveCall>();

  #lastCallId = 0;

  #incarnation = 1;

  #history: Snapshot[] = [];

  constructor() {
    super();
    this.#recordSnapshot();
  }

  /** Changes the behaviour of the engine from now on. */
  set(changes: Partial<EngineSetup>): void {
    this.#setup = { ...this.#setup, ...changes };
  }

  get runningCount(): number {
    return this.#active.size;
  }

  start(call: EngineCall, events: EngineEvents): EngineRun {
    this.#lastCallId += 1;
    const id = this.#lastCallId;
    const response = makeResponse(call.attemptId, this.#setup.responseBytes);
    const active: ActiveCall = {
      call,
      events,
      response,
      sentBytes: 0,
      isPaused: false,
      timer: undefined,
    };
    if (this.#setup.failure) return failCall(events, this.#setup.failure);
    this.executions.set(call.attemptId, (this.executions.get(call.attemptId) ?? 0) + 1);
    this.#active.set(id, active);
    this.#recordSnapshot();
    const capacity = this.isWarm ? this.#setup.warmLimit : this.#setup.coldLimit;
    if (this.#active.size > capacity) {
      this.overruns.push(performance.now() - this.turnedColdAtMs);
    }
    const waitMs = this.isWarm
      ? this.#setup.firstByteMs
      : this.#setup.firstByteMs * COLD_SLOWDOWN_FACTOR;
    active.timer = setTimeout(() => this.#startResponse(id), waitMs);
    return {
      cancel: () => this.#cancel(id),
      pause: () => this.#pause(id),
      resume: () => this.#resume(id),
    };
  }

  /** Simulates a restart of the engine process: all calls fail and the engine is cold. */
  restart(): void {
    this.#incarnation += 1;
    this.isWarm = false;
    const calls = [...this.#active.values()];
    calls.forEach((active) => clearTimeout(active.timer));
    this.#active.clear();
    this.#recordSnapshot();
    calls.forEach(({ events }) =>
      events.onFailure({ kind: EngineFailureKind.Lost, detail: 'engine restarted' }),
    );
  }

  /** @returns a call that runs */
  readCall(attemptId: string): ActiveCall {
    const found = [...this.#active.values()].find(({ call }) => call.attemptId === attemptId);
    if (!found) throw new Error(`no call ${attemptId} runs`);
    return found;
  }

  /** Ends a call by an exception in the code that handles its response. */
  failWithFault(attemptId: string): void {
    const failed = this.readCall(attemptId);
    clearTimeout(failed.timer);
    this.#active.forEach((active, id) => {
      if (active === failed) this.#active.delete(id);
    });
    this.#recordSnapshot();
    failed.events.onFault(new Error('injected'));
  }

  /** Breaks all connections while the engine continues the calls. */
  breakConnections(): void {
    [...this.#active.values()].forEach((active) => {
      const { onFailure } = active.events;
      // eslint-disable-next-line no-param-reassign -- events of a broken call are dropped
      active.events = IGNORED_EVENTS;
      onFailure({ kind: EngineFailureKind.Lost, detail: 'connection broke' });
    });
  }

  /** Makes the engine warm or cold; reports show it after their lag. */
  setWarm(isWarm: boolean): void {
    if (this.isWarm && !isWarm) this.turnedColdAtMs = performance.now();
    this.isWarm = isWarm;
    this.#recordSnapshot();
  }

  readReport(): Promise<Result<EngineReport, string>> {
    if (this.#setup.isReportHanging) return new Promise(() => {});
    if (this.#setup.isReportFailing) return Promise.resolve(Err('no response'));
    const atMs = performance.now() - this.#setup.reportLagMs;
    const seen = this.#history.filter((snapshot) => snapshot.atMs <= atMs);
    const snapshot = seen[seen.length - 1] ?? this.#history[0];
    return Promise.resolve(snapshot ? Ok(snapshot.report) : Err('no report yet'));
  }

  override readCacheEvents(): Promise<Result<readonly CacheEvent[], string>> {
    return Promise.resolve(Ok([]));
  }

  async order(
    order: EngineOrder,
  ): Promise<Result<Readonly<Record<string, unknown>>, EngineOrderError>> {
    const index = this.orders.length;
    this.orders.push(order);
    await new Promise((resolve) => {
      setTimeout(resolve, this.#setup.orderMs);
    });
    const kind = this.#setup.orderErrors[index];
    return kind ? Err({ kind, detail: kind }) : Ok({ count: this.orders.length });
  }

  #startResponse(id: number): void {
    const active = this.#active.get(id);
    if (!active) return;
    active.events.onRequestLimit?.(Ok(this.#setup.requestLimitPerS));
    active.events.onHead(200, { 'content-type': 'text/plain' });
    this.#sendChunk(id);
  }

  #sendChunk(id: number): void {
    const active = this.#active.get(id);
    if (!active) return;
    active.timer = undefined;
    if (active.isPaused) return;
    if (active.sentBytes >= active.response.length) {
      this.#active.delete(id);
      this.#recordSnapshot();
      active.events.onEnd();
      return;
    }
    const chunk = active.response.subarray(
      active.sentBytes,
      active.sentBytes + this.#setup.chunkBytes,
    );
    active.sentBytes += chunk.length;
    active.timer = setTimeout(() => this.#sendChunk(id), this.#setup.chunkMs);
    active.events.onData(chunk);
  }

  #cancel(id: number): void {
    const active = this.#active.get(id);
    if (!active) return;
    clearTimeout(active.timer);
    this.cancelled.push(active.call.attemptId);
    setTimeout(() => {
      this.#active.delete(id);
      this.#recordSnapshot();
    }, CANCEL_DELAY_MS);
  }

  #pause(id: number): void {
    const active = this.#active.get(id);
    if (!active) return;
    this.pauseCount += 1;
    active.isPaused = true;
  }

  #resume(id: number): void {
    const active = this.#active.get(id);
    if (!active) return;
    this.resumeCount += 1;
    active.isPaused = false;
    if (!active.timer) active.timer = setTimeout(() => this.#sendChunk(id), this.#setup.chunkMs);
  }

  #recordSnapshot(): void {
    const report: EngineReport = {
      engineIncarnation: `e${this.#incarnation}`,
      running: this.#active.size,
      queued: 0,
      kvUsedShare: 0,
      isWarm: this.#setup.claimsWarm ?? this.isWarm,
      tokensPerSecond: 0,
      models: [],
    };
    this.#history = [...this.#history.slice(-400), { atMs: performance.now(), report }];
  }
}
