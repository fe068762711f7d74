import { install } from '@sinonjs/fake-timers';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { QueueAdmission } from '../../src/limits/queueAdmission.js';
import type { AdmissionPermit, AdmissionTicket } from '../../src/limits/admissionPolicy.js';
import { RefusalReason } from '../../src/model/reason.js';

const LONG_MS = 1_000_000;

/** The clock is stopped, so that only observed service times count. */
const clock = install({ toFake: ['Date'] });

/** Admission to one pool; the test holds all permits until it releases them. */
class AdmissionHarness {
  readonly admission = new QueueAdmission();

  /** Workspaces of the admitted requests, in the order of admission. */
  readonly admitted: string[] = [];

  readonly refusals: string[] = [];

  readonly #permits: AdmissionPermit[] = [];

  #count = 0;

  constructor(inFlightLimit: number) {
    this.admission.setInFlightLimit('p', inFlightLimit);
  }

  enter(workspace: string, changes: Partial<AdmissionTicket> = {}): void {
    this.#count += 1;
    const ticket = { requestId: `${this.#count}`, pool: 'p', className: 'c', workspace };
    const { signal } = new AbortController();
    const bounds = { weight: 1, priority: 5, deadlineAtMs: 10 * LONG_MS, queueLimit: 100, signal };
    this.admission.enter({ ...ticket, ...bounds, ...changes }).then((result) => {
      if (!result.ok) this.refusals.push(`${workspace} ${result.val.reason}`);
      else {
        this.admitted.push(workspace);
        this.#permits.push(result.val);
      }
    });
  }

  /** Ends the requests in flight one after the other until none is left. */
  async serveAll(): Promise<void> {
    await Promise.resolve();
    const permit = this.#permits.shift();
    if (!permit) return;
    permit.release();
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    await this.serveAll();
  }
}

function enterMany(
  harness: AdmissionHarness,
  workspace: string,
  count: number,
  changes = {},
): void {
  Array.from({ length: count }).forEach(() => harness.enter(workspace, changes));
}

test('a workspace that floods the queue does not delay other workspaces', async () => {
  const harness = new AdmissionHarness(1);
  enterMany(harness, 'flood', 50);
  enterMany(harness, 'small', 2);
  await harness.serveAll();
  const places = harness.admitted.flatMap((name, place) => (name === 'small' ? [place] : []));
  assert.ok(places.every((place) => place < 6));
});

test('workspaces are admitted in proportion to their weights', async () => {
  const harness = new AdmissionHarness(1);
  harness.enter('first');
  enterMany(harness, 'heavy', 30, { weight: 3 });
  enterMany(harness, 'light', 30);
  await harness.serveAll();
  const heavy = harness.admitted.slice(1, 21).filter((name) => name === 'heavy').length;
  assert.ok(Math.abs(heavy - 15) <= 1);
});

test('a request of higher priority is admitted first', async () => {
  const harness = new AdmissionHarness(1);
  enterMany(harness, 'low', 5, { priority: 7 });
  harness.enter('high', { priority: 1 });
  await harness.serveAll();
  assert.is(harness.admitted.indexOf('high'), 1);
});

test('a full queue evicts the newest request of the workspace with the most requests', async () => {
  const harness = new AdmissionHarness(1);
  enterMany(harness, 'flood', 10, { queueLimit: 5 });
  harness.enter('small', { queueLimit: 5 });
  await harness.serveAll();
  assert.ok(harness.admitted.includes('small'));
  assert.equal([...new Set(harness.refusals)], [`flood ${RefusalReason.QueueFull}`]);
  assert.is(harness.admitted.length, 6);
});

test('a request whose forecast wait and service exceed its deadline is refused at once', async () => {
  const harness = new AdmissionHarness(2);
  harness.admission.observeService('p', 'c', 1_000);
  enterMany(harness, 'many', 6);
  harness.enter('hasty', { deadlineAtMs: 1_400 });
  harness.enter('patient', { deadlineAtMs: 4_000 });
  await harness.serveAll();
  assert.equal(harness.refusals, [`hasty ${RefusalReason.DeadlineUnreachable}`]);
});

test('a free slot is given to a request whatever the measured service times are', async () => {
  const harness = new AdmissionHarness(1);
  harness.admission.observeService('p', 'c', LONG_MS);
  harness.enter('first', { deadlineAtMs: 10 });
  await harness.serveAll();
  assert.equal(harness.admitted, ['first']);
});

test('time without waiting requests does not count as time between admissions', async () => {
  const harness = new AdmissionHarness(1);
  const caller = new AbortController();
  harness.enter('first');
  harness.enter('leaver', { signal: caller.signal });
  await Promise.resolve();
  caller.abort();
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
  clock.tick(LONG_MS);
  const deadlineAtMs = Date.now() + LONG_MS / 2;
  enterMany(harness, 'later', 2, { deadlineAtMs });
  await harness.serveAll();
  harness.enter('holder');
  enterMany(harness, 'last', 2, { deadlineAtMs });
  await harness.serveAll();
  assert.is(harness.admitted.filter((name) => name === 'last').length, 2);
});

test('an outage that is over does not cause later requests to be refused', async () => {
  const harness = new AdmissionHarness(0);
  harness.admission.observeService('p', 'c', 100);
  enterMany(harness, 'early', 2, { deadlineAtMs: Number.MAX_SAFE_INTEGER });
  clock.tick(LONG_MS);
  harness.admission.setInFlightLimit('p', 1);
  await harness.serveAll();
  enterMany(harness, 'later', 3, { deadlineAtMs: Date.now() + 1_000 });
  await harness.serveAll();
  assert.equal(harness.refusals, []);
});

test('no request is admitted while the in-flight limit is 0, and all once it rises', async () => {
  const harness = new AdmissionHarness(0);
  enterMany(harness, 'w', 3);
  await harness.serveAll();
  assert.equal(harness.admitted, []);
  harness.admission.setInFlightLimit('p', 3);
  await harness.serveAll();
  assert.is(harness.admitted.length, 3);
});

test.run();
