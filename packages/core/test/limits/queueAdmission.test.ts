/** Admission by priority and fair share, and refusal as soon as a deadline cannot be met. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { RefusalReason } from '../../src/model/reason.js';

import { AdmissionFixture, admissionTest, POOL } from './admissionFixture.js';
import type { TestRequest } from './testRequest.js';

function countOf(workspace: string, requests: readonly TestRequest[]): number {
  return requests.filter((request) => request.workspace === workspace).length;
}

function countWaiting(requests: readonly TestRequest[]): number {
  return requests.filter((request) => request.isWaiting).length;
}

admissionTest('a flooding workspace lets the others meet their deadlines', async (clock) => {
  const pool = new AdmissionFixture(2, 1_000);
  pool.enterMany(100, { workspace: 'large', serviceMs: 1_000 });
  const small = pool.enterMany(4, { workspace: 'small', deadlineMs: 6_000, serviceMs: 1_000 });
  await clock.tickAsync(5_000);
  assert.is(small.filter(({ waitMs }) => waitMs <= 5_000).length, 4);
});

admissionTest('waiting workspaces are admitted in proportion to their weights', async (clock) => {
  const pool = new AdmissionFixture(1, 100);
  pool.enterMany(40, { workspace: 'light', weight: 1, serviceMs: 100 });
  pool.enterMany(40, { workspace: 'heavy', weight: 3, serviceMs: 100 });
  await clock.tickAsync(3_950);
  const share = countOf('heavy', pool.started) / pool.started.length;
  assert.ok(share > 0.7 && share < 0.8, `share ${share}`);
});

admissionTest('a class with longer service times is admitted less often', async (clock) => {
  const pool = new AdmissionFixture(1, 100, 'long');
  pool.admission.observeService(POOL, 'short', 25);
  pool.enterMany(100, { workspace: 'a', className: 'long', serviceMs: 100 });
  pool.enterMany(100, { workspace: 'b', className: 'short', serviceMs: 25 });
  await clock.tickAsync(2_000);
  const [longMs, shortMs] = [countOf('a', pool.started) * 100, countOf('b', pool.started) * 25];
  assert.ok(longMs / shortMs < 1.5, `${longMs} ms against ${shortMs} ms`);
});

admissionTest('a late request with a lower priority number is admitted first', async (clock) => {
  const pool = new AdmissionFixture(1, 100);
  pool.enterMany(5, { workspace: 'bulk', priority: 7, serviceMs: 100 });
  const urgent = pool.enter({ workspace: 'desk', priority: 1, serviceMs: 100 });
  await clock.tickAsync(1_000);
  assert.is(pool.started.indexOf(urgent), 1);
});

admissionTest('a request that cannot meet its deadline is refused at once', async (clock) => {
  const pool = new AdmissionFixture(1, 1_000);
  pool.enterMany(6, { serviceMs: 1_000 });
  const late = pool.enter({ deadlineMs: 3_000 });
  await clock.tickAsync(0);
  assert.equal([late.refusal?.reason, late.refusedAtMs], [RefusalReason.DeadlineUnreachable, 0]);
});

admissionTest('a refused request retried at its retry time meets its deadline', async (clock) => {
  const pool = new AdmissionFixture(1, 1_000);
  pool.enterMany(6, { serviceMs: 1_000 });
  const spec = { deadlineMs: 3_000, serviceMs: 1_000 };
  const refused = pool.enter(spec);
  await clock.tickAsync(0);
  await clock.tickAsync(refused.refusal?.retryAfterMs ?? 0);
  const second = pool.enter(spec);
  await clock.tickAsync(3_000);
  assert.ok(second.waitMs <= 2_000, `refused with ${second.refusal?.reason}`);
});

admissionTest('requests refused together get retry times three admissions apart', async (clock) => {
  const pool = new AdmissionFixture(2, 1_000);
  pool.enterMany(20, { serviceMs: 1_000 });
  const refused = pool.enterMany(3, { deadlineMs: 3_000 });
  await clock.tickAsync(0);
  const [first = 0, ...rest] = refused.map(({ refusal }) => refusal?.retryAfterMs ?? 0);
  assert.equal(
    rest.map((timeMs) => timeMs - first),
    [1_500, 3_000],
  );
});

admissionTest('a waiting request is refused once only its service time is left', async (clock) => {
  const pool = new AdmissionFixture(1, 1_000);
  const stuck = pool.enter();
  const waiting = pool.enter({ deadlineMs: 3_000 });
  await clock.tickAsync(3_000);
  stuck.permit?.release();
  const { refusedAtMs, refusal } = waiting;
  assert.equal([refusedAtMs, refusal?.reason], [2_000, RefusalReason.DeadlineUnreachable]);
});

admissionTest(
  'if answers vary in length, an admitted request has time for a long one',
  async (clock) => {
    const pool = new AdmissionFixture(1, 500);
    Array.from({ length: 20 }).forEach(() => {
      [200, 800].forEach((serviceMs) => pool.admission.observeService(POOL, 'draft', serviceMs));
    });
    const stuck = pool.enter();
    const waiting = pool.enter({ deadlineMs: 3_000 });
    await clock.tickAsync(2_300);
    stuck.permit?.release();
    await clock.tickAsync(0);
    assert.is(waiting.refusal?.reason, RefusalReason.DeadlineUnreachable);
  },
);

admissionTest('a lower in-flight limit refuses late requests at once', async (clock) => {
  const pool = new AdmissionFixture(10, 1_000);
  pool.enterMany(10, { serviceMs: 1_000 });
  const waiting = pool.enterMany(20, { deadlineMs: 5_000, serviceMs: 1_000 });
  await clock.tickAsync(0);
  pool.admission.setInFlightLimit(POOL, 2);
  await clock.tickAsync(0);
  const refused = waiting.filter(({ refusedAtMs }) => refusedAtMs === 0);
  assert.ok(refused.length > 10 && refused.length < 20, `${refused.length} refused`);
});

admissionTest('a higher in-flight limit admits waiting requests', async (clock) => {
  const pool = new AdmissionFixture(0, 1_000);
  const waiting = pool.enterMany(5, { serviceMs: 1_000 });
  await clock.tickAsync(100);
  const before = countWaiting(waiting);
  pool.admission.setInFlightLimit(POOL, 3);
  await clock.tickAsync(0);
  assert.equal([before, countWaiting(waiting)], [5, 2]);
});

admissionTest('a lower in-flight limit admits none until enough requests ended', async (clock) => {
  const pool = new AdmissionFixture(4);
  const running = pool.enterMany(4);
  const waiting = pool.enter({ serviceMs: 10 });
  pool.admission.setInFlightLimit(POOL, 2);
  await clock.tickAsync(0);
  running.slice(0, 2).forEach(({ permit }) => permit?.release());
  await clock.tickAsync(0);
  const before = waiting.isWaiting;
  running.slice(2).forEach(({ permit }) => permit?.release());
  await clock.tickAsync(0);
  assert.equal([before, waiting.isWaiting], [true, false]);
});

admissionTest('a full queue evicts from the workspace with the most requests', async (clock) => {
  const pool = new AdmissionFixture(1, 10);
  pool.enter({ serviceMs: 1_000 });
  const large = pool.enterMany(5, { workspace: 'large', queueLimit: 5, serviceMs: 10 });
  const small = pool.enter({ workspace: 'small', queueLimit: 5, serviceMs: 10 });
  const more = pool.enter({ workspace: 'large', queueLimit: 5, serviceMs: 10 });
  await clock.tickAsync(0);
  const reasons = [large[4], small, more].map((request) => request?.refusal?.reason);
  assert.equal(reasons, [RefusalReason.QueueFull, undefined, RefusalReason.QueueFull]);
});

admissionTest('a request whose caller disconnected is removed from the queue', async (clock) => {
  const pool = new AdmissionFixture(1);
  const running = pool.enter();
  const gone = pool.enter();
  const next = pool.enter({ serviceMs: 10 });
  await clock.tickAsync(0);
  gone.abort.abort();
  running.permit?.release();
  await clock.tickAsync(0);
  assert.equal([gone.startedAtMs, next.startedAtMs], [undefined, 0]);
});

test.run();
