/** Admission to one pool under a fake clock; requests hold permits for their service time. */
import { install } from '@sinonjs/fake-timers';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import type { AdmissionPermit, AdmissionTicket } from '../../src/limits/admissionPolicy.js';
import { QueueAdmission } from '../../src/limits/queueAdmission.js';

import { TestRequest } from './testRequest.js';

export type TestClock = ReturnType<typeof install>;

export const POOL = 'drafting';

const DEADLINE_MS = 60_000;

/** Time after a test's body in which all its requests end, before their deadlines pass. */
const SETTLE_MS = 51_000;

/** Properties of a test request. */
export interface RequestSpec {
  readonly workspace?: string;
  readonly className?: string;
  readonly weight?: number;
  readonly priority?: number;
  readonly deadlineMs?: number;
  readonly queueLimit?: number;
  /** Time for which the request holds its permit; if undefined, it never releases it. */
  readonly serviceMs?: number;
}

/** Admission with one pool. */
export class AdmissionFixture {
  readonly admission = new QueueAdmission();

  /** Requests in the order of their admission. */
  readonly started: TestRequest[] = [];

  #count = 0;

  /** @param serviceMs service time measured before the test; 0 for none */
  constructor(inFlightLimit: number, serviceMs = 0, className = 'draft') {
    this.admission.setInFlightLimit(POOL, inFlightLimit);
    if (serviceMs > 0) this.admission.observeService(POOL, className, serviceMs);
  }

  enter(spec: RequestSpec = {}): TestRequest {
    const request = new TestRequest(spec.workspace ?? 'choir');
    this.admission.enter(this.#createTicket(request, spec)).then((result) => {
      if (result.ok) this.#start(request, result.val, spec);
      else Object.assign(request, { refusal: result.val, refusedAtMs: Date.now() });
    });
    return request;
  }

  enterMany(count: number, spec: RequestSpec = {}): readonly TestRequest[] {
    return Array.from({ length: count }, () => this.enter(spec));
  }

  #createTicket(request: TestRequest, spec: RequestSpec): AdmissionTicket {
    this.#count += 1;
    return {
      requestId: `r${this.#count}`,
      pool: POOL,
      className: spec.className ?? 'draft',
      workspace: request.workspace,
      weight: spec.weight ?? 1,
      priority: spec.priority ?? 5,
      deadlineAtMs: Date.now() + (spec.deadlineMs ?? DEADLINE_MS),
      queueLimit: spec.queueLimit ?? 1_000,
      signal: request.abort.signal,
    };
  }

  #start(request: TestRequest, permit: AdmissionPermit, spec: RequestSpec): void {
    Object.assign(request, { permit, startedAtMs: Date.now() });
    this.started.push(request);
    const { serviceMs, className = 'draft' } = spec;
    if (serviceMs === undefined) return;
    setTimeout(() => {
      this.admission.observeService(POOL, className, serviceMs);
      permit.release();
    }, serviceMs);
  }
}

/** Declares a test that runs under a fake clock and must leave no timer behind. */
export function admissionTest(name: string, body: (clock: TestClock) => Promise<void>): void {
  test(name, async () => {
    const clock = install({ toNotFake: ['nextTick', 'queueMicrotask'] });
    try {
      await body(clock);
      await clock.tickAsync(SETTLE_MS);
      assert.is(clock.countTimers(), 0, 'no timer is left');
    } finally {
      clock.uninstall();
    }
  });
}
