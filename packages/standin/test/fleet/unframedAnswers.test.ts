/** Upstreams behind side processes whose responses are unframed: they end with their connection. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { wait } from '@radishbay/core/wait.js';
import { resetConnection } from '@radishbay/objects/connectionReset.js';

import type { Fleet } from '../../src/fleet/fleet.js';
import { RelayDirection } from '../../src/fleet/tcpRelay.js';
import type { ObservedCall } from '../../src/http/observedCall.js';

import {
  assertWhole,
  begin,
  call,
  FIRST,
  LAST,
  READ,
  startManualFleet,
  stopManualFleet,
  STREAM,
  submit,
  waitUntil,
  WHOLE,
  WRITE,
  writeHead,
  type ManualCall,
  type ManualContext,
  type Route,
} from './manualFleet.js';

/** Time between the last event and the end of the connection, or between this and a reset. */
const LATE_END_MS = 30;
const LATE_RESET_MS = 20;

/** Time without a link that is shorter than the inquiry limit and longer than a heartbeat. */
const OUTAGE_MS = 1_200;

/** Refusals of a request whose key is in use, and for lack of an upstream. */
const NOT_YET_STATUSES = new Set([409, 503]);

const ROUTES: Readonly<Record<string, Route>> = {
  'a response to a write': WRITE,
  'a response to a read': READ,
  'a stream': STREAM,
};

const test = suite<ManualContext>('unframed answers behind side processes');

test.before(startManualFleet);

test.after(stopManualFleet);

const ENDINGS: Readonly<Record<string, (begun: ManualCall) => Promise<void> | void>> = {
  'right behind its last event': ({ engine }) => {
    engine.end(LAST);
  },
  'a while after its last event': async ({ engine }) => {
    engine.write(LAST);
    await wait(LATE_END_MS);
    engine.end();
  },
  'and is then reset': async ({ engine }) => {
    engine.end(LAST);
    await wait(LATE_RESET_MS);
    resetConnection(engine);
  },
};

/** Sends the last event and waits until the caller has it. */
async function sendLast({ caller, engine }: ManualCall): Promise<void> {
  engine.write(LAST);
  await waitUntil(() => caller.text === WHOLE);
}

const OUTAGES: Readonly<Record<string, (begun: ManualCall) => Promise<void> | void>> = {
  'is cut before the last event': ({ engine, relay }) => {
    relay.cut();
    engine.end(LAST);
  },
  'is cut at the last event': async ({ engine, relay }) => {
    engine.end(LAST);
    await new Promise(setImmediate);
    relay.cut();
  },
  'is cut between the last event and the end': async (begun) => {
    await sendLast(begun);
    begun.relay.cut();
    begun.engine.end();
  },
  'loses the end': async (begun) => {
    const { engine, relay } = begun;
    await sendLast(begun);
    relay.hold(RelayDirection.FromTarget);
    engine.end();
    await waitUntil(() => engine.destroyed);
    relay.cut();
    relay.release(RelayDirection.FromTarget);
  },
  'is down from before the last event until after the end': async ({ engine, relay }) => {
    relay.hold(RelayDirection.ToTarget);
    relay.cut();
    engine.end(LAST);
    await wait(OUTAGE_MS);
    relay.release(RelayDirection.ToTarget);
  },
};

Object.entries(ROUTES).forEach(([name, route]) => {
  Object.entries(ENDINGS).forEach(([ending, end]) => {
    test(`${name} is whole if its connection ends ${ending}`, async (context) => {
      const begun = await begin(context, route);
      await end(begun);
      await assertWhole(begun.caller);
    });
  });

  /** Guards against a whole response that is reset because its end has to be asked for. */
  Object.entries(OUTAGES).forEach(([outage, interrupt]) => {
    test(`${name} is whole if its link ${outage}`, async (context) => {
      const begun = await begin(context, route);
      await interrupt(begun);
      await assertWhole(begun.caller);
    });
  });
});

/** Writes one chunk of a chunked body. */
function writeChunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

const UNFRAMED = `${writeHead()}${FIRST}`;
const SIZED = `${writeHead(`content-length: ${WHOLE.length}\r\n`)}${FIRST}`;
const CHUNKED = `${writeHead('transfer-encoding: chunked\r\n')}${writeChunk(FIRST)}`;

/** Beginning of a response, what follows it, and whether the connection is then reset at once. */
const CUTS: Readonly<Record<string, readonly [string, string, boolean]>> = {
  'unframed and reset between events': [UNFRAMED, '', true],
  'unframed and reset within an event': [UNFRAMED, 'id: 3\nda', true],
  'unframed and reset behind its last event': [UNFRAMED, LAST, true],
  'ended short of its length': [SIZED, '', false],
  'reset short of its length': [SIZED, '', true],
  'ended before its last chunk': [CHUNKED, writeChunk(LAST), false],
  'reset before its last chunk': [CHUNKED, writeChunk(LAST), true],
};

Object.entries(ROUTES).forEach(([name, route]) => {
  Object.entries(CUTS).forEach(([cut, [start, rest, isReset]]) => {
    /** Guards against part of a response that looks complete. */
    test(`${name} that is ${cut} is not whole`, async (context) => {
      const { caller, engine } = await submit(context, route);
      engine.write(start);
      await waitUntil(() => caller.text === FIRST);
      engine.write(rest);
      if (isReset) resetConnection(engine);
      else engine.end();
      assert.is(await caller.ended, false);
    });
  });

  test(`${name} that is reset while its link is down is not whole`, async (context) => {
    const { caller, engine, relay } = await begin(context, route);
    relay.hold(RelayDirection.ToTarget);
    relay.cut();
    resetConnection(engine);
    await wait(OUTAGE_MS);
    relay.release(RelayDirection.ToTarget);
    assert.is(await caller.ended, false);
  });
});

/** Repeats a write whose response is still being stored, or whose entry has no link yet. */
async function replay(fleet: Fleet, key: string): Promise<ObservedCall> {
  const caller = call(fleet, WRITE, 0, key);
  await caller.ended;
  return NOT_YET_STATUSES.has(caller.status) ? replay(fleet, key) : caller;
}

/** Guards against a whole response that is lost where another entry takes the request over. */
[false, true].forEach((isCut) => {
  test(`an entry that takes over a ${isCut ? 'cut ' : ''}write gets it whole`, async (context) => {
    const { fleet } = context;
    const key = `key-${isCut}`;
    const { caller, engine, relay } = await begin(context, WRITE, key);
    caller.leave();
    const second = call(fleet, WRITE, 1, key);
    await waitUntil(() => second.text === FIRST);
    if (isCut) relay.cut();
    engine.end(LAST);
    await assertWhole(second);
    await assertWhole(await replay(fleet, key));
  });
});

test.run();
