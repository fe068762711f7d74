/** Feeds events to a single check, one at a time, and returns the violations that it reports. */
import type { Bounds, Check, CheckContext } from '../src/checks/check.js';
import {
  RequestKind,
  type ChangeKind,
  type ObservedResponse,
  type ObservedExecution,
  type SentRequest,
} from '../src/record/observation.js';
import { FaultTimeline } from '../src/record/faultTimeline.js';
import { SoakRecord } from '../src/record/soakRecord.js';

export const BOUNDS: Bounds = {
  drainMs: 2_000,
  evacuateMs: 5_000,
  contactMs: 3_000,
  configMs: 3_000,
  coldPerS: 2,
  coldFactor: 1.5,
  coldAddition: 5,
  retryShare: 0.2,
  retryWindowMs: 10_000,
  retryFloor: 3,
  stopLimitMs: 8_000,
  recoverMs: 15_000,
};

export const STABLE_PERIOD_MS = 3_000;

/** A record with one check. */
export class History {
  readonly faultTimeline = new FaultTimeline(STABLE_PERIOD_MS);

  readonly #record = new SoakRecord();

  constructor(create: (context: CheckContext) => Check) {
    const { faultTimeline } = this;
    this.#record.addChecks((context) => [
      create({ ...context, timeline: faultTimeline, bounds: BOUNDS }),
    ]);
  }

  /** Details of the reported violations. */
  get violations(): readonly string[] {
    return this.#record.violations.map(({ detail }) => detail);
  }

  send(fields: Partial<SentRequest> = {}): SentRequest {
    const request: SentRequest = {
      id: 'r-1',
      entry: 'entry-1',
      kind: RequestKind.Once,
      pool: 'exchange',
      path: '/swap/r-1',
      body: '{}',
      workspace: 'parish',
      timeoutMs: 2_000,
      attempts: 1,
      sentAtMs: 10_000,
      generation: undefined,
      ...fields,
    };
    this.#record.recordRequest(request);
    return request;
  }

  /** Records the start of the request at an upstream, as sent unless fields differ. */
  run(request: SentRequest, fields: Partial<ObservedExecution> = {}): void {
    const { id, pool, path, body, workspace, sentAtMs: atMs } = request;
    this.#record.recordExecution({
      id,
      upstream: 'up-1',
      pool,
      domain: 'zone-a',
      path,
      body,
      workspace,
      lastEventId: 0,
      atMs,
      ...fields,
    });
  }

  answer(request: SentRequest, fields: Partial<ObservedResponse> = {}): void {
    this.#record.recordResponse(request, {
      status: 200,
      body: `POST by up-1 for ${request.id}`,
      isWhole: true,
      seal: 'up-1.seal',
      detail: 'a complete response',
      endedAtMs: request.sentAtMs + 50,
      ...fields,
    });
  }

  /** Records that the caller disconnects. */
  disconnect(request: SentRequest, atMs: number): void {
    this.#record.recordCallerDisconnect(request, atMs);
  }

  /** Records that the upstream stops working on the request. */
  endRun({ id }: SentRequest, atMs: number): void {
    this.#record.recordExecutionEnd(id, true, atMs);
  }

  change(kind: ChangeKind, subject: string, atMs: number, limitPerS?: number): void {
    this.#record.recordChange({
      kind,
      subject,
      atMs,
      ...(limitPerS !== undefined && { limitPerS }),
    });
  }

  finish(): void {
    this.#record.finishChecks();
  }
}
