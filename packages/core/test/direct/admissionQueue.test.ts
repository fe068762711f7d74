import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { AdmissionQueue, type AdmissionTicket } from '../../src/direct/admissionQueue.js';

import { withClock } from './directFixture.js';

let lastArrivalMs = 0;

/** A request whose id begins with its workspace. */
function createTicket(id: string, changes: Partial<AdmissionTicket> = {}): AdmissionTicket {
  lastArrivalMs += 1;
  return {
    id,
    priority: 1,
    isLate: false,
    waitBudgetMs: 1_000,
    arrivedAtMs: lastArrivalMs,
    claim: { workspace: id.charAt(0), share: 1, work: 1, load: 1 },
    onAdmitted: () => {},
    onDenied: () => {},
    ...changes,
  };
}

function drain(queue: AdmissionQueue): readonly string[] {
  const ids: string[] = [];
  for (let next = queue.first; next; next = queue.first) {
    ids.push(next.id);
    queue.dequeue(next.id);
  }
  return ids;
}

function addAll(queue: AdmissionQueue, ids: readonly string[]): void {
  ids.forEach((id) => queue.add(createTicket(id)));
}

test('a workspace that floods the queue waits behind its own requests', () =>
  withClock(() => {
    const queue = new AdmissionQueue();
    addAll(queue, ['a1', 'a2', 'a3', 'b1', 'c1', 'b2']);
    assert.equal(drain(queue), ['a1', 'b1', 'c1', 'a2', 'b2', 'a3']);
  }));

test('requests that can be on time, and then more urgent ones, go first whatever their tags', () =>
  withClock(() => {
    const queue = new AdmissionQueue();
    queue.add(createTicket('b1', { isLate: true, priority: 0 }));
    queue.add(createTicket('c1', { priority: 2 }));
    addAll(queue, ['a1', 'a2']);
    assert.equal(drain(queue), ['a1', 'a2', 'c1', 'b1']);
  }));

test('a workspace above its share comes after others of the same priority only', () =>
  withClock(() => {
    const isAboveShare = ({ id }: AdmissionTicket) => id.startsWith('a');
    const queue = new AdmissionQueue({ isAboveShare });
    queue.add(createTicket('c1', { priority: 2 }));
    addAll(queue, ['a1', 'b1', 'b2']);
    assert.is(queue.countAhead(createTicket('a2')), 3);
    assert.is(queue.countAhead(createTicket('d1')), 1, 'only the first of b has an earlier tag');
    assert.equal(drain(queue), ['b1', 'b2', 'a1', 'c1']);
  }));

test('a large request moves its workspace back by its work', () =>
  withClock(() => {
    const queue = new AdmissionQueue();
    queue.add(createTicket('a1', { claim: { workspace: 'a', share: 1, work: 3, load: 1 } }));
    addAll(queue, ['a2', 'b1', 'b2', 'b3']);
    assert.equal(drain(queue), ['a1', 'b1', 'b2', 'b3', 'a2']);
  }));

test('a request that leaves without being admitted costs its workspace nothing', () =>
  withClock(() => {
    const queue = new AdmissionQueue();
    addAll(queue, ['b1', 'a1', 'a2']);
    queue.remove('a2');
    addAll(queue, ['b2', 'a3']);
    assert.equal(drain(queue), ['b1', 'a1', 'b2', 'a3']);
  }));

test('without workspaces, arrival decides', () =>
  withClock(() => {
    const queue = new AdmissionQueue();
    const later = createTicket('x1', { claim: undefined, arrivedAtMs: 20 });
    const earlier = createTicket('x2', { claim: undefined, arrivedAtMs: 10 });
    [later, earlier].forEach((ticket) => queue.add(ticket));
    assert.equal(drain(queue), ['x2', 'x1']);
  }));

test.run();
