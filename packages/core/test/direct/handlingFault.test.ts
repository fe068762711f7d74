/** Exceptions thrown while the response to one request is handled. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { Outcome } from '../../src/model/reason.js';
import { FakeCaller } from '../entry/fakeCaller.js';

import { DirectFixture, withClock } from './directFixture.js';
import type { FakeCall } from './fakeCall.js';

const FAULTS = 'fault.contained{part=request}';

const FAULT = new Error('injected');

/** What requests hold at the upstreams of a pool, and in the entry. */
function readHeld({ board, controller }: DirectFixture, pool: string) {
  const upstreams = board.listPool(pool);
  const sum = (values: readonly number[]) => values.reduce((total, each) => total + each, 0);
  return {
    requests: controller.inFlightCount,
    inFlight: sum(upstreams.map(({ inFlight }) => inFlight)),
    awaiting: sum(upstreams.map(({ awaitingFirstOutput }) => awaitingFirstOutput)),
    attempts: board.getActivity(pool).inFlight,
  };
}

const STAGES: Readonly<Record<string, (call: FakeCall) => void>> = {
  'before its head': () => {},
  'after its head': (call) => call.head(),
  'after part of its body': (call) => call.head().send('part'),
};

Object.entries(STAGES).forEach(([stage, answer]) => {
  test(`a fault in a response ${stage} fails a request that must not run twice`, () =>
    withClock(() => {
      const entry = new DirectFixture();
      entry.addUpstreams('exchange', 2);
      const before = readHeld(entry, 'exchange');
      const caller = entry.sendRequest('swap');
      answer(entry.lastCall);
      entry.lastCall.fault(FAULT);
      assert.equal(caller.ends, ['refuse']);
      assert.is(caller.refusal?.outcome, Outcome.Unknown);
      assert.is(entry.calls.length, 1);
      assert.equal(readHeld(entry, 'exchange'), before);
      assert.is(entry.metrics.readCount(FAULTS), 1);
      const line = entry.log.find('Internal error, the process goes on.');
      assert.is(line?.fields.id, entry.lastCall.call.request.id);
    }));

  test(`a fault in a response ${stage} repeats a request that may run twice`, () =>
    withClock(() => {
      const entry = new DirectFixture();
      entry.addUpstreams('exchange', 2);
      const before = readHeld(entry, 'exchange');
      const caller = entry.sendRequest('catalogue');
      answer(entry.lastCall);
      entry.lastCall.fault(FAULT);
      entry.lastCall.head().send('whole').end();
      assert.equal([caller.ends, caller.text], [['end'], 'whole']);
      assert.equal(readHeld(entry, 'exchange'), before);
    }));
});

test('a stream with a fault is resumed after its last event', () =>
  withClock(() => {
    const entry = new DirectFixture();
    entry.addUpstreams('models', 2);
    const before = readHeld(entry, 'models');
    const caller = entry.sendRequest('stream');
    entry.lastCall.head().sendEvents(1, 2).fault(FAULT);
    assert.is(entry.lastCall.call.resumeAfterId, '2');
    entry.lastCall.head().sendEvents(3).end();
    assert.equal(caller.ends, ['end']);
    assert.equal(readHeld(entry, 'models'), before);
  }));

test('an upstream whose responses have faults is ejected', () =>
  withClock(() => {
    const entry = new DirectFixture();
    entry.addUpstreams('exchange', 1);
    const { id } = entry.board.listPool('exchange')[0]?.entry ?? {};
    for (let sent = 0; sent < 3; sent += 1) {
      entry.sendRequest('swap');
      entry.lastCall.fault(FAULT);
    }
    assert.ok(entry.board.findUpstream(id ?? '')?.ejection.isEjected(performance.now()));
  }));

test('a fault after a response has been sent in full does not abort it', () =>
  withClock(() => {
    const entry = new DirectFixture();
    entry.addUpstreams('exchange', 1);
    const before = readHeld(entry, 'exchange');
    const caller = entry.sendRequest('swap');
    const end = caller.end.bind(caller);
    Object.assign(caller, {
      end: () => {
        end();
        throw FAULT;
      },
    });
    assert.throws(() => entry.lastCall.head().send('whole').end());
    entry.lastCall.fault(FAULT);
    assert.equal(caller.ends, ['end']);
    assert.equal(readHeld(entry, 'exchange'), before);
  }));

/** Guards against a response that fails because another request could not be sent. */
test('a fault in sending a request that has waited does not concern the response before', () =>
  withClock(async (clock) => {
    const entry = new DirectFixture();
    entry.addUpstreams('exchange', 1);
    const sent: FakeCaller[] = [];
    do sent.push(entry.sendRequest('swap'));
    while (entry.calls.length === sent.length);
    const waiting = sent.pop();
    const call = entry.upstreams.call.bind(entry.upstreams);
    Object.assign(entry.upstreams, {
      call: () => {
        throw FAULT;
      },
    });
    entry.calls[0]?.head().send('whole').end();
    await clock.tickAsync(100);
    Object.assign(entry.upstreams, { call });
    assert.equal(sent[0]?.ends, ['end']);
    assert.equal(waiting?.ends, ['refuse']);
    entry.calls.slice(1).forEach((open) => open.head().send('whole').end());
    sent.forEach(({ ends }) => assert.equal(ends, ['end']));
    assert.equal(readHeld(entry, 'exchange'), {
      requests: 0,
      inFlight: 0,
      awaiting: 0,
      attempts: 0,
    });
  }));

test.run();
