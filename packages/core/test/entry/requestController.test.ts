import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { MessageType, type Message } from '../../src/messages/message.js';
import { Outcome, RefusalReason } from '../../src/model/reason.js';

import { FakeSide } from './fakeSide.js';
import { scenario } from './scenario.js';

const SWAP = { path: '/v1/swaps/7' };

scenario('a caller gets the complete answer to its own request', async (entry, clock) => {
  const caller = entry.request();
  await clock.tickAsync(0);
  entry.deliver();
  entry.finishAll();
  assert.is(caller.status, 200);
  assert.is(caller.text, FakeSide.answerOf('entry-1.i1.1.1', 'entry-1/1'));
  assert.equal(caller.ends, ['end']);
});

scenario('an entry with unconfirmed configuration sends nothing', async (entry, clock) => {
  Object.assign(entry.board, { isCurrent: false });
  const caller = entry.request();
  await clock.tickAsync(0);
  assert.is(caller.refusal?.reason, RefusalReason.StaleConfiguration);
  assert.is(caller.refusal?.outcome, Outcome.NotRun);
  assert.equal([...entry.takeOutbox('worker-a'), ...entry.takeOutbox('worker-b')], []);
});

scenario('a drained domain gets no new requests', async (entry, clock) => {
  entry.applyConfig([['domain', { name: 'zone-a', state: 'drained' }]]);
  const callers = [entry.request(), entry.request(), entry.request()];
  await clock.tickAsync(0);
  assert.equal(entry.takeOutbox('worker-a'), []);
  entry.deliver();
  entry.finishAll();
  callers.forEach((caller) => assert.equal(caller.ends, ['end']));
});

scenario('repeatable requests leave a drained domain after moveAfterMs', async (entry, clock) => {
  const callers = [entry.request(), entry.request(), entry.request(SWAP), entry.request(SWAP)];
  await clock.tickAsync(0);
  entry.deliver();
  const out = { drainedAtMs: Date.now(), shareBefore: 1, restoredAtMs: undefined };
  entry.board.drainPeriods.set('zone-a', out);
  entry.applyConfig([['domain', { name: 'zone-a', state: 'drained', moveAfterMs: 1_000 }]]);
  const before = entry.countRunning('worker-a');
  await clock.tickAsync(999);
  entry.report('worker-a');
  entry.deliver();
  assert.is(entry.countRunning('worker-a'), before);
  await clock.tickAsync(1);
  entry.report('worker-a');
  entry.deliver();
  assert.is(before - entry.countRunning('worker-a'), 1);
  entry.finishAll();
  callers.forEach((caller) => assert.equal(caller.ends, ['end']));
});

/** Guards against a status that Node's server throws for, from an older side process. */
[0, 99, 101, 600].forEach((status) => {
  scenario(`an answer with status ${status} is not relayed`, async (entry, clock) => {
    const caller = entry.request(SWAP);
    await clock.tickAsync(0);
    entry.deliver();
    const [name = ''] = [...entry.sides.keys()].filter((each) => entry.countRunning(each) > 0);
    const attemptId = 'entry-1.i1.1.1';
    entry.receive(name, [{ type: MessageType.Head, attemptId, status, headers: {} }]);
    assert.equal(caller.ends, ['refuse']);
    assert.is(caller.refusal?.outcome, Outcome.Unknown);
  });
});

scenario('an answer may arrive while its request is being sent', async (entry, clock) => {
  entry.links.forEach((link, name) => {
    const side = entry.sides.get(name);
    Object.assign(link, {
      send: (message: Message) => {
        side?.receive(message, 'entry-1');
        entry.receive(name, side?.finish('entry-1') ?? []);
      },
    });
  });
  const caller = entry.request();
  await clock.tickAsync(0);
  assert.equal(caller.ends, ['end']);
});

scenario('submissions refused as stale do not use the retry budget', async (entry, clock) => {
  const gateReason = RefusalReason.StaleSubmission;
  entry.sides.forEach((side) => Object.assign(side, { gateReason }));
  const callers = Array.from({ length: 12 }, () => entry.request(SWAP));
  await clock.tickAsync(0);
  entry.deliver();
  entry.sides.forEach((side) => Object.assign(side, { gateReason: undefined }));
  await clock.tickAsync(200);
  entry.deliver();
  entry.finishAll();
  callers.forEach((caller) => assert.equal(caller.ends, ['end']));
});

scenario('a request is refused as full when all upstreams are full', async (entry, clock) => {
  entry.sides.forEach((side) => Object.assign(side, { gateReason: RefusalReason.UpstreamFull }));
  const caller = entry.request({ deadlineMs: 30 });
  await clock.tickAsync(0);
  entry.deliver();
  assert.is(caller.refusal?.reason, RefusalReason.UpstreamFull);
  assert.is(caller.refusal?.outcome, Outcome.NotRun);
  assert.ok(caller.refusal && caller.refusal.retryAfterMs > 0);
});

scenario('a request refused by full upstreams is retried and runs once', async (entry, clock) => {
  entry.sides.forEach((side) => Object.assign(side, { gateReason: RefusalReason.UpstreamFull }));
  const caller = entry.request(SWAP);
  await clock.tickAsync(0);
  entry.deliver();
  entry.sides.forEach((side) => Object.assign(side, { gateReason: undefined }));
  await clock.tickAsync(200);
  entry.deliver();
  entry.finishAll();
  assert.equal(caller.ends, ['end']);
  assert.is(entry.countExecutions('entry-1/1'), 1);
  assert.is(entry.counts.get('request.retried refused-by-side'), 2);
});

/** Guards against a refusal, long before the deadline, while side processes and engines start. */
scenario('a request waits for upstreams that stay cold for seconds', async (entry, clock) => {
  entry.sides.forEach((side) => Object.assign(side, { gateReason: RefusalReason.UpstreamCold }));
  const caller = entry.request({ ...SWAP, deadlineMs: 30_000 });
  for (let atMs = 0; atMs < 5_000; atMs += 50) {
    // eslint-disable-next-line no-await-in-loop -- time passes in steps
    await clock.tickAsync(50);
    entry.deliver();
  }
  assert.equal(caller.ends, []);
  entry.sides.forEach((side) => Object.assign(side, { gateReason: undefined }));
  await clock.tickAsync(2_000);
  entry.deliver();
  entry.finishAll();
  assert.equal(caller.ends, ['end']);
  assert.is(entry.countExecutions('entry-1/1'), 1);
  const retries = entry.counts.get('request.retried refused-by-side') ?? 0;
  assert.ok(retries <= 15, `${retries} retries`);
});

scenario('a running request is refused as unknown at its deadline', async (entry, clock) => {
  const caller = entry.request({ ...SWAP, deadlineMs: 1_000 });
  await clock.tickAsync(0);
  entry.deliver();
  await clock.tickAsync(1_000);
  assert.equal(caller.ends, ['refuse']);
  assert.is(caller.refusal?.outcome, Outcome.Unknown);
});

scenario('a caller that hangs up cancels its attempt', async (entry, clock) => {
  const caller = entry.request();
  await clock.tickAsync(0);
  entry.deliver();
  caller.hangUp();
  entry.deliver();
  assert.equal(
    [...entry.sides.values()].flatMap((side) => side.listRunning('entry-1')),
    [],
  );
});

scenario(
  'a stopping entry refuses new requests and finishes those in flight',
  async (entry, clock) => {
    Object.assign(entry.board, { isStopping: true });
    const first = entry.request();
    await clock.tickAsync(0);
    const drained = entry.controller.drain();
    const second = entry.request();
    entry.deliver();
    entry.finishAll();
    await drained;
    assert.is(second.refusal?.reason, RefusalReason.ShuttingDown);
    assert.equal(first.ends, ['end']);
  },
);

/** Guards against a link that is lost, or a process that ends, by one request's message. */
scenario('an exception while a message is handled ends its request only', async (entry, clock) => {
  const faulty = entry.request();
  const sound = entry.request();
  await clock.tickAsync(0);
  entry.deliver();
  Object.assign(faulty, {
    writeHead: () => {
      throw new Error('injected');
    },
  });
  const held = [...entry.sides.keys()].map((name) => entry.countRunning(name));
  assert.equal(
    held.reduce((sum, each) => sum + each, 0),
    2,
  );
  entry.finishAll();
  assert.equal(sound.ends, ['end']);
  assert.equal(faulty.ends, ['abort']);
  assert.is(faulty.refusal?.outcome, Outcome.Unknown);
  assert.is(entry.controller.attemptCount, 0);
  assert.equal(entry.controller.listInFlight(), []);
  assert.equal(
    [...entry.board.upstreams.values()].map(({ inFlight }) => inFlight),
    [0, 0],
  );
  assert.is(entry.counts.get('fault.contained requests'), 1);
});

test.run();
