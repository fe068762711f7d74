/**
 * An upstream in memory: it executes calls in time, falls over when a cold one is overrun, and
 * records what it did. Its record is the judge, whatever the balancer says.
 */
import {
  Engine,
  EngineFailureKind,
  EngineOrderErrorKind,
  type EngineCall,
  type EngineEvents,
  type EngineOrder,
  type EngineOrderError,
  type EngineRun,
} from '@radishbay/core/ports/engine.js';
import type { CacheEvent, EngineReport } from '@radishbay/core/model/report.js';
import { Err, Ok, type Result } from '@radishbay/core/outcome.js';

import type { SimProcess } from '../process/simProcess.js';

import { formatAnswer } from './answerText.js';
import { EngineConnection } from './engineConnection.js';
import { EventKind, type EventLog } from './eventLog.js';

const CHUNKS = 4;
const CHUNK_MS = 120;
const COLD_SLOWDOWN = 3;
const STATUS_OK = 200;

/** One execution. */
export interface Execution {
  readonly attemptId: string;
  /** Tag by which the scenario knows its request. */
  readonly tag: string;
  readonly startedAtMs: number;
}

export interface MemoryEngineOptions {
  readonly name: string;
  readonly isPlain: boolean;
  /** Work at once that it bears when cold; one more and it falls over. */
  readonly coldLimit: number;
  readonly warmLimit: number;
  /** Completed calls after which it is warm. */
  readonly warmAfter: number;
  readonly events: EventLog;
}

/** Header that carries the scenario's tag to the record. */
export const TAG_HEADER = 'x-tag';

/** One upstream. */
export class MemoryEngine extends Engine {
  readonly #options: MemoryEngineOptions;

  readonly executions: Execution[] = [];

  /** Moments at which more work was in flight than the engine bears. */
  readonly overruns: {
    readonly atMs: number;
    readonly inFlight: number;
    readonly limit: number;
  }[] = [];

  readonly #running = new Set<() => void>();

  /** Attempts carried out to their end. */
  readonly #whole = new Set<string>();

  #incarnation = 1;

  #completed = 0;

  /** Calls still to complete until it is warm again. */
  #isTurnedCold = true;

  constructor(options: MemoryEngineOptions) {
    super();
    this.#options = options;
  }

  get name(): string {
    return this.#options.name;
  }

  get isPlain(): boolean {
    return this.#options.isPlain;
  }

  /** Whether an attempt was carried out to its end. */
  isWhole(attemptId: string): boolean {
    return this.#whole.has(attemptId);
  }

  get inFlight(): number {
    return this.#running.size;
  }

  get isWarm(): boolean {
    return !this.#isTurnedCold;
  }

  /** The upstream as a side process calls it; its calls end with the process. */
  connect(process: SimProcess): Engine {
    return new EngineConnection(this, process);
  }

  /** Turns cold without a notice; what is in flight stays. */
  turnCold(): void {
    this.#isTurnedCold = true;
    this.#completed = 0;
  }

  /** The engine process starts anew: everything in flight is lost. */
  restart(): void {
    this.#incarnation += 1;
    this.turnCold();
    [...this.#running].forEach((breakOff) => breakOff());
    this.#running.clear();
  }

  override start(call: EngineCall, events: EngineEvents): EngineRun {
    this.#options.events.note(this.name, EventKind.Engine, `start ${call.attemptId}`);
    const execution: Execution = {
      attemptId: call.attemptId,
      tag: call.headers[TAG_HEADER] ?? '',
      startedAtMs: Date.now(),
    };
    this.executions.push(execution);
    return this.#execute(execution, events);
  }

  override readReport(): Promise<Result<EngineReport, string>> {
    return Promise.resolve(
      Ok({
        engineIncarnation: String(this.#incarnation),
        running: this.#running.size,
        queued: 0,
        kvUsedShare: 0,
        isWarm: this.isWarm,
        tokensPerSecond: 0,
        models: [],
      }),
    );
  }

  override readCacheEvents(): Promise<Result<readonly CacheEvent[], string>> {
    return Promise.resolve(Ok([]));
  }

  override order(
    order: EngineOrder,
  ): Promise<Result<Readonly<Record<string, unknown>>, EngineOrderError>> {
    const detail = `no order ${order.action} here`;
    return Promise.resolve(Err({ kind: EngineOrderErrorKind.Refused, detail }));
  }

  #execute(execution: Execution, events: EngineEvents): EngineRun {
    const timers = new Set<NodeJS.Timeout>();
    const stop = () => timers.forEach((timer) => clearTimeout(timer));
    const breakOff = () => {
      stop();
      events.onFailure({ kind: EngineFailureKind.Lost, detail: 'the engine broke off' });
    };
    const end = () => {
      stop();
      this.#running.delete(breakOff);
    };
    this.#running.add(breakOff);
    this.#judgeLoad();
    const stepMs = this.isWarm ? CHUNK_MS : CHUNK_MS * COLD_SLOWDOWN;
    const text = Buffer.from(formatAnswer(execution.tag));
    const size = Math.ceil(text.length / CHUNKS);
    const later = (index: number, action: () => void) => {
      timers.add(setTimeout(action, stepMs * index));
    };
    later(1, () => events.onHead(STATUS_OK, { 'content-type': 'text/plain' }));
    Array.from({ length: CHUNKS }, (_, index) =>
      later(index + 1, () => events.onData(text.subarray(index * size, (index + 1) * size))),
    );
    later(CHUNKS + 1, () => {
      end();
      this.#noteWhole(execution);
      events.onEnd();
    });
    return { cancel: end, pause: () => {}, resume: () => {} };
  }

  #noteWhole(execution: Execution): void {
    this.#whole.add(execution.attemptId);
    this.#completed += 1;
    if (this.#completed >= this.#options.warmAfter) this.#isTurnedCold = false;
  }

  #judgeLoad(): void {
    const { coldLimit, warmLimit } = this.#options;
    const limit = this.isWarm ? warmLimit : coldLimit;
    if (this.#running.size <= limit) return;
    this.overruns.push({ atMs: Date.now(), inFlight: this.#running.size, limit });
  }
}
