import { install } from '@sinonjs/fake-timers';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { QueueAdmission } from '../../src/limits/queueAdmission.js';
import type { AdmissionPermit, AdmissionTicket } from '../../src/limits/admissionPolicy.js';
import { RefusalReason } from '../../src/model/reason.js';

const FAR_MS = 1_000_000;

/** Time stands still, so that only what is observed counts. */
const clock = install({ toFake: ['Date'] });

/** Admission to one pool, whose permits are held until the test ends them. */
class Turnstile {
  readonly admission = new QueueAdmission();

  /** Workspaces in the order of their turns. */
  readonly turns: string[] = [];

  readonly refusals: string[] = [];

  readonly #permits: AdmissionPermit[] = [];

  #count = 0;

  constructor(room: number) {
    this.admission.setRoom('p', room);
  }

  enter(workspace: string, changes: Partial<AdmissionTicket> = {}): void {
    this.#count += 1;
    const ticket = { requestId: `${this.#count}`, pool: 'p', className: 'c', workspace };
    const { signal } = new AbortController();
    const bounds = { weight: 1, priority: 5, deadlineAtMs: 10 * FAR_MS, queueLimit: 100, signal };
    this.admission.enter({ ...ticket, ...bounds, ...changes }).then((turn) => {
      if (!turn.ok) this.refusals.push(`${workspace} ${turn.val.reason}`);
      else {
        this.turns.push(workspace);
        this.#permits.push(turn.val);
      }
    });
  }

  /** Ends the requests in flight one after the other until nobody waits. */
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

function enterMany(turnstile: Turnstile, workspace: string, count: number, changes = {}): void {
  Array.from({ length: count }).forEach(() => turnstile.enter(workspace, changes));
}

test('a workspace that floods keeps no other one waiting behind its queue', async () => {
  const turnstile = new Turnstile(1);
  enterMany(turnstile, 'flood', 50);
  enterMany(turnstile, 'small', 2);
  await turnstile.serveAll();
  const places = turnstile.turns.flatMap((name, place) => (name === 'small' ? [place] : []));
  assert.ok(places.every((place) => place < 6));
});

test('workspaces have turns by their weights', async () => {
  const turnstile = new Turnstile(1);
  turnstile.enter('first');
  enterMany(turnstile, 'heavy', 30, { weight: 3 });
  enterMany(turnstile, 'light', 30);
  await turnstile.serveAll();
  const heavy = turnstile.turns.slice(1, 21).filter((name) => name === 'heavy').length;
  assert.ok(Math.abs(heavy - 15) <= 1);
});

test('a request of higher priority goes first', async () => {
  const turnstile = new Turnstile(1);
  enterMany(turnstile, 'low', 5, { priority: 7 });
  turnstile.enter('high', { priority: 1 });
  await turnstile.serveAll();
  assert.is(turnstile.turns.indexOf('high'), 1);
});

test('a full queue turns away the newest of the workspace that takes up most', async () => {
  const turnstile = new Turnstile(1);
  enterMany(turnstile, 'flood', 10, { queueLimit: 5 });
  turnstile.enter('small', { queueLimit: 5 });
  await turnstile.serveAll();
  assert.ok(turnstile.turns.includes('small'));
  assert.equal([...new Set(turnstile.refusals)], [`flood ${RefusalReason.QueueFull}`]);
  assert.is(turnstile.turns.length, 6);
});

test('a request that would come too late by the measured rates is refused at once', async () => {
  const turnstile = new Turnstile(2);
  turnstile.admission.observeService('p', 'c', 1_000);
  enterMany(turnstile, 'many', 6);
  turnstile.enter('hasty', { deadlineAtMs: 1_400 });
  turnstile.enter('patient', { deadlineAtMs: 4_000 });
  await turnstile.serveAll();
  assert.equal(turnstile.refusals, [`hasty ${RefusalReason.DeadlineUnreachable}`]);
});

test('a free place is given whatever the measured rates say', async () => {
  const turnstile = new Turnstile(1);
  turnstile.admission.observeService('p', 'c', FAR_MS);
  turnstile.enter('first', { deadlineAtMs: 10 });
  await turnstile.serveAll();
  assert.equal(turnstile.turns, ['first']);
});

test('time in which nobody waited does not count as time between turns', async () => {
  const turnstile = new Turnstile(1);
  const leaver = new AbortController();
  turnstile.enter('first');
  turnstile.enter('leaver', { signal: leaver.signal });
  await Promise.resolve();
  leaver.abort();
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
  clock.tick(FAR_MS);
  const deadlineAtMs = Date.now() + FAR_MS / 2;
  enterMany(turnstile, 'later', 2, { deadlineAtMs });
  await turnstile.serveAll();
  turnstile.enter('holder');
  enterMany(turnstile, 'last', 2, { deadlineAtMs });
  await turnstile.serveAll();
  assert.is(turnstile.turns.filter((name) => name === 'last').length, 2);
});

test('an outage that is over does not keep requests from waiting', async () => {
  const turnstile = new Turnstile(0);
  turnstile.admission.observeService('p', 'c', 100);
  enterMany(turnstile, 'early', 2, { deadlineAtMs: Number.MAX_SAFE_INTEGER });
  clock.tick(FAR_MS);
  turnstile.admission.setRoom('p', 1);
  await turnstile.serveAll();
  enterMany(turnstile, 'later', 3, { deadlineAtMs: Date.now() + 1_000 });
  await turnstile.serveAll();
  assert.equal(turnstile.refusals, []);
});

test('nobody is let in without room, and all are once there is some', async () => {
  const turnstile = new Turnstile(0);
  enterMany(turnstile, 'w', 3);
  await turnstile.serveAll();
  assert.equal(turnstile.turns, []);
  turnstile.admission.setRoom('p', 3);
  await turnstile.serveAll();
  assert.is(turnstile.turns.length, 3);
});

test.run();
