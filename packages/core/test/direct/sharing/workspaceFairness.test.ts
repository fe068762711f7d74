import { test } from 'uvu';
import * as assert from 'uvu/assert';

import type { CountsMessage } from '../../../src/direct/peerState.js';
import { WorkspaceFairness } from '../../../src/direct/sharing/workspaceFairness.js';
import type { ClaimingRequest } from '../../../src/direct/sharing/workspaceUsage.js';
import { MessageType, parseMessage } from '../../../src/messages/message.js';
import { withClock, type TestClock } from '../directFixture.js';

import { SharesRun } from './sharesRun.js';

const POOL = 'models';

function createRequest(workspace: string, priority = 1): ClaimingRequest {
  return { claim: { workspace, share: 1, work: 1, load: 1 }, priority, isLate: false };
}

function createFairness(session = 1): WorkspaceFairness {
  return new WorkspaceFairness({ readWeight: () => 1, countEntries: () => 2, session });
}

/** Lets a workspace hold slots, and another workspace be refused. */
function contend(fairness: WorkspaceFairness, held: number, refused = 1): void {
  const { claim } = createRequest('large');
  Array.from({ length: held }, () => fairness.addInFlight(POOL, claim, 1));
  Array.from({ length: refused }, () =>
    fairness.noteRefused(POOL, createRequest('small'), performance.now()),
  );
}

function createMessage(fairness: WorkspaceFairness, entry = 'b', isFull = true): CountsMessage {
  const fields = fairness.readFull(performance.now());
  return { type: MessageType.UpstreamCounts, entry, isFull, counts: {}, ...fields };
}

function readUse(fairness: WorkspaceFairness): number {
  return fairness.readUse(POOL, 'large', performance.now());
}

/** Two linked entries; the large workspace holds five slots of each, and another is refused. */
async function withEntries(
  body: (run: SharesRun, clock: TestClock, uses: () => readonly number[]) => Promise<void>,
): Promise<void> {
  await withClock(async (clock) => {
    const run = new SharesRun(clock, { load: 0, entries: 2, isGuarded: true });
    await clock.tickAsync(100);
    run.entries.forEach(({ board }) => contend(board.fairness, 5));
    await clock.tickAsync(300);
    const uses = () => run.entries.map(({ board }) => readUse(board.fairness));
    assert.equal(uses(), [10, 10]);
    await body(run, clock, uses);
    run.stop();
  });
}

/** Keeps an entry's pool short of capacity. */
async function refuseFor(run: SharesRun, clock: TestClock, spanMs: number): Promise<void> {
  for (let passedMs = 0; passedMs < spanMs; passedMs += 100) {
    run.entries.forEach(({ board }) => contend(board.fairness, 0));
    // eslint-disable-next-line no-await-in-loop -- the clock advances step by step
    await clock.tickAsync(100);
  }
}

test('a workspace is above its share only while another one wants more', () =>
  withClock(async (clock) => {
    const fairness = createFairness();
    contend(fairness, 8, 0);
    const isAbove = () => {
      const { claim } = createRequest('large');
      return fairness.findExcess(POOL, claim, performance.now()) !== undefined;
    };
    assert.not(isAbove(), 'nothing is refused');
    await clock.tickAsync(30);
    contend(fairness, 0);
    assert.ok(isAbove());
    await clock.tickAsync(4_000);
    assert.not(isAbove(), 'the refusal is long ago');
  }));

test('an urgent request does not yield to less urgent ones of smaller workspaces', () =>
  withClock(() => {
    const fairness = createFairness();
    contend(fairness, 8, 0);
    fairness.noteRefused(POOL, createRequest('small', 2), performance.now());
    const counts = [1, 2, 3].map((each) => fairness.countPending(POOL, each, performance.now()));
    assert.equal(counts, [0, 1, 1]);
  }));

test('requests of a workspace above its share reserve nothing', () =>
  withClock(() => {
    const fairness = createFairness();
    contend(fairness, 8, 1);
    fairness.noteRefused(POOL, createRequest('large'), performance.now());
    assert.is(fairness.countPending(POOL, 9, performance.now()), 1);
  }));

test('nothing is sent while nobody is refused or waits', () =>
  withClock(() => {
    const fairness = createFairness();
    contend(fairness, 8, 0);
    assert.equal(fairness.readFull(performance.now()), {});
    assert.is(fairness.takeChanges(performance.now()), undefined);
  }));

test('an entry that joins learns the use of all workspaces, and adds nothing to it', () =>
  withClock(async (clock) => {
    const run = new SharesRun(clock, { load: 0, entries: 2, isGuarded: true });
    const [one, other] = run.entries.map(({ board }) => board.fairness);
    if (!one || !other) throw new Error('no entries');
    contend(one, 5);
    assert.is(readUse(other), 0, 'the link is not open yet');
    await clock.tickAsync(100);
    assert.equal([readUse(one), readUse(other)], [5, 5]);
    run.stop();
  }));

test('the use of an entry that dies is gone at once', () =>
  withEntries(async (run, clock, uses) => {
    run.links.forEach((link) => link.close('reset'));
    await clock.tickAsync(1);
    assert.equal(uses(), [5, 5]);
  }));

test('the use of an entry that freezes is gone within 1.6 s, what it waits for within 0.8 s', () =>
  withEntries(async (run, clock, uses) => {
    const [one] = run.entries.map(({ board }) => board.fairness);
    // The exchange itself drops a peer that has been silent since now 1.9 s after this.
    await refuseFor(run, clock, 700);
    run.links.forEach((link) => Object.assign(link, { isSilent: true }));
    await clock.tickAsync(800);
    const pending = one?.countPending(POOL, 9, performance.now());
    assert.is(pending, 0, 'slots are no longer kept free for it');
    await clock.tickAsync(800);
    assert.equal(uses(), [5, 5]);
  }));

test('cut off in one direction, no entry counts a use twice, and the deaf one drops it', () =>
  withEntries(async (run, clock, uses) => {
    // The first end of each pair is the one that dialled; the other entry no longer hears it.
    run.links.slice(0, 1).forEach((link) => Object.assign(link, { isSilent: true }));
    const seen: (readonly number[])[] = [];
    for (let step = 0; step < 40; step += 1) {
      // eslint-disable-next-line no-await-in-loop -- looks every 100 ms
      await refuseFor(run, clock, 100);
      seen.push(uses());
    }
    assert.ok(seen.flat().every((use) => use === 5 || use === 10));
    assert.is(seen[15]?.[1], 5, 'gone within 1.6 s');
    assert.equal(seen[39], [10, 10], 'the link has been replaced');
  }));

test('an entry that restarts replaces the use of its earlier run', () =>
  withClock(() => {
    const fairness = createFairness();
    const [earlier, later] = [createFairness(5), createFairness(6)];
    contend(earlier, 7);
    Array.from({ length: 9 }, () => earlier.readFull(performance.now()));
    fairness.apply(createMessage(earlier), performance.now());
    contend(later, 2);
    fairness.apply(createMessage(later), performance.now());
    assert.is(readUse(fairness), 2);
  }));

test('late and duplicated messages have no effect', () =>
  withClock(async (clock) => {
    const [fairness, peer] = [createFairness(), createFairness()];
    contend(peer, 7);
    const first = createMessage(peer);
    await clock.tickAsync(50);
    contend(peer, 1);
    const second = createMessage(peer);
    [first, second, second, first].forEach((each) => fairness.apply(each, performance.now()));
    assert.is(readUse(fairness), 8);
  }));

test('a full message of an earlier build leaves the use of its sender unknown', () =>
  withClock(() => {
    const [fairness, peer] = [createFairness(), createFairness()];
    contend(peer, 7);
    fairness.apply(createMessage(peer), performance.now());
    const { workspaceUsage, ...earlier } = createMessage(peer);
    assert.ok(workspaceUsage);
    fairness.apply({ ...earlier, isFull: false }, performance.now());
    assert.is(readUse(fairness), 7, 'a change of something else');
    fairness.apply(earlier, performance.now());
    assert.is(readUse(fairness), 0);
  }));

test('invalid uses are rejected with their message', () =>
  withClock(() => {
    const peer = createFairness();
    contend(peer, 7);
    const message = createMessage(peer);
    assert.ok(parseMessage(message).ok);
    const { workspaceUsage } = message;
    const row = ['large', 28, 0];
    const others = [0, 0];
    const invalid = [
      { ...workspaceUsage, sequence: -1 },
      { ...workspaceUsage, pending: { models: { urgent: 1 } } },
      { ...workspaceUsage, pools: { models: { workspaces: [['large', 1.5, 0]], others } } },
      { ...workspaceUsage, pools: { models: { workspaces: Array(33).fill(row), others } } },
    ];
    invalid.forEach((each) => assert.not(parseMessage({ ...message, workspaceUsage: each }).ok));
  }));

test('a message names the largest workspaces, and the sum of the others', () =>
  withClock(() => {
    const fairness = createFairness();
    Array.from({ length: 100 }, (_, at) => {
      const { claim } = createRequest(`workspace-${at}`);
      return Array.from({ length: at < 3 ? 4 : 1 }, () => fairness.addInFlight(POOL, claim, 1));
    });
    contend(fairness, 0);
    const { workspaceUsage } = createMessage(fairness);
    const news = workspaceUsage?.pools?.[POOL];
    assert.is(news?.workspaces.length, 32);
    assert.equal(
      news?.workspaces.slice(0, 3).map(([, use]) => use),
      [16, 16, 16],
    );
    assert.equal(news?.others, [68 * 4, 4], 'quarters of 68 requests and of one refused');
  }));

test.run();
