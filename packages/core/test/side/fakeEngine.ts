/** An engine in memory: counts executions, notes overruns, reports with a lag. */
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

/** Factor by which a cold engine is slow to its first byte. */
const COLD_FACTOR = 8;

interface Snapshot {
  readonly atMs: number;
  readonly report: EngineReport;
}

interface ActiveCall {
  readonly call: EngineCall;
  readonly events: EngineEvents;
  readonly answer: Uint8Array;
  sent: number;
  isPaused: boolean;
  timer: NodeJS.Timeout | undefined;
}

/** Bytes that an attempt is answered with. */
export function answerOf(attemptId: string, byteCount: number): Uint8Array {
  const text = `${attemptId}/`.repeat(Math.ceil(byteCount / (attemptId.length + 1)));
  return new TextEncoder().encode(text).subarray(0, byteCount);
}

export class FakeEngine extends Engine {
  firstByteMs = 50;

  pieceMs = 20;

  pieceBytes = 10;

  answerBytes = 30;

  reportLagMs = 0;

  coldLimit = 2;

  warmLimit = 8;

  isWarm = true;

  /** What the engine says of itself where that differs from the truth. */
  claimsWarm: boolean | undefined;

  isReportFailing = false;

  isReportHanging = false;

  /** Failure that the next calls end with. */
  failure: EngineFailureKind | undefined;

  /** Order errors to answer with, first to last; Ok once they are used up. */
  orderErrors: EngineOrderErrorKind[] = [];

  orderMs = 10;

  readonly orders: EngineOrder[] = [];

  /** Executions by attempt. */
  readonly executions = new Map<string, number>();

  /** Times at which a call began above what the engine bore. */
  readonly overruns: number[] = [];

  readonly cancelled: string[] = [];

  pauseCount = 0;

  resumeCount = 0;

  readonly #active = new Map<number, ActiveCall>();

  #lastCall = 0;

  #incarnation = 1;

  #history: Snapshot[] = [];

  constructor() {
    super();
    this.#note();
  }

  get runningCount(): number {
    return this.#active.size;
  }

  start(call: EngineCall, events: EngineEvents): EngineRun {
    this.#lastCall += 1;
    const id = this.#lastCall;
    const answer = answerOf(call.attemptId, this.answerBytes);
    const active: ActiveCall = { call, events, answer, sent: 0, isPaused: false, timer: undefined };
    if (this.failure) return this.#fail(events, this.failure);
    this.executions.set(call.attemptId, (this.executions.get(call.attemptId) ?? 0) + 1);
    this.#active.set(id, active);
    this.#note();
    const bears = this.isWarm ? this.warmLimit : this.coldLimit;
    if (this.#active.size > bears) this.overruns.push(performance.now());
    const waitMs = this.isWarm ? this.firstByteMs : this.firstByteMs * COLD_FACTOR;
    active.timer = setTimeout(() => this.#begin(id), waitMs);
    return {
      cancel: () => this.#cancel(id),
      pause: () => this.#pause(id),
      resume: () => this.#resume(id),
    };
  }

  /** A new engine process takes the place of this one: all calls break. */
  restart(): void {
    this.#incarnation += 1;
    this.isWarm = false;
    const calls = [...this.#active.values()];
    calls.forEach((active) => clearTimeout(active.timer));
    this.#active.clear();
    this.#note();
    calls.forEach(({ events }) =>
      events.onFailure({ kind: EngineFailureKind.Lost, detail: 'engine restarted' }),
    );
  }

  turn(isWarm: boolean): void {
    this.isWarm = isWarm;
    this.#note();
  }

  readReport(): Promise<Result<EngineReport, string>> {
    if (this.isReportHanging) return new Promise(() => {});
    if (this.isReportFailing) return Promise.resolve(Err('no answer'));
    const atMs = performance.now() - this.reportLagMs;
    const seen = this.#history.filter((snapshot) => snapshot.atMs <= atMs);
    const snapshot = seen[seen.length - 1] ?? this.#history[0];
    return Promise.resolve(snapshot ? Ok(snapshot.report) : Err('nothing yet'));
  }

  // eslint-disable-next-line class-methods-use-this -- no cache here
  readCacheEvents(): Promise<Result<readonly CacheEvent[], string>> {
    return Promise.resolve(Ok([]));
  }

  async order(
    order: EngineOrder,
  ): Promise<Result<Readonly<Record<string, unknown>>, EngineOrderError>> {
    this.orders.push(order);
    await new Promise((resolve) => {
      setTimeout(resolve, this.orderMs);
    });
    const kind = this.orderErrors.shift();
    return kind ? Err({ kind, detail: kind }) : Ok({ count: this.orders.length });
  }

  #fail(events: EngineEvents, kind: EngineFailureKind): EngineRun {
    setTimeout(() => events.onFailure({ kind, detail: kind }), 1);
    const ignore = (): void => {};
    return { cancel: ignore, pause: ignore, resume: ignore };
  }

  #begin(id: number): void {
    const active = this.#active.get(id);
    if (!active) return;
    active.events.onHead(200, { 'content-type': 'text/plain' });
    this.#sendPiece(id);
  }

  #sendPiece(id: number): void {
    const active = this.#active.get(id);
    if (!active || active.isPaused) return;
    active.timer = undefined;
    if (active.sent >= active.answer.length) {
      this.#active.delete(id);
      this.#note();
      active.events.onEnd();
      return;
    }
    const piece = active.answer.subarray(active.sent, active.sent + this.pieceBytes);
    active.sent += piece.length;
    active.timer = setTimeout(() => this.#sendPiece(id), this.pieceMs);
    active.events.onData(piece);
  }

  #cancel(id: number): void {
    const active = this.#active.get(id);
    if (!active) return;
    clearTimeout(active.timer);
    this.#active.delete(id);
    this.cancelled.push(active.call.attemptId);
    this.#note();
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
    if (!active.timer) active.timer = setTimeout(() => this.#sendPiece(id), this.pieceMs);
  }

  #note(): void {
    const report: EngineReport = {
      engineIncarnation: `e${this.#incarnation}`,
      running: this.#active.size,
      queued: 0,
      kvUsedShare: 0,
      isWarm: this.claimsWarm ?? this.isWarm,
      tokensPerSecond: 0,
      models: [],
    };
    this.#history = [...this.#history.slice(-400), { atMs: performance.now(), report }];
  }
}
