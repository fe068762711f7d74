/** Whole responses that a side process has, and that reach their callers in spite of a fault. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { wait } from '@radishbay/core/wait.js';
import { resetConnection } from '@radishbay/objects/connectionReset.js';

import { RelayDirection } from '../../src/fleet/tcpRelay.js';

import {
  assertWhole,
  begin,
  call,
  getService,
  LAST,
  READ,
  startManualFleet,
  stopManualFleet,
  STREAM,
  submit,
  WHOLE,
  WRITE,
  writeHead,
  type ManualContext,
} from './manualFleet.js';

const RESET_DELAY_MS = 20;

/** Longer than an entry waits for a link before it runs a repeatable request elsewhere. */
const OUTAGE_MS = 1_200;

/** Longer than the progress timeout, and far shorter than the deadline, of a read. */
const SLOW_MS = 3_500;

/** Time for the side process to read a response. */
const READ_MS = 200;

const test = suite<ManualContext>('whole answers at side processes');

test.before(startManualFleet);

test.after(stopManualFleet);

Object.entries({ write: WRITE, read: READ, stream: STREAM }).forEach(([name, route]) => {
  /** Guards against a process that is late, and takes an end for a reset that came after it. */
  test(`a ${name} is whole if its end and then a reset arrive before they are read`, async (context) => {
    const { caller, engine } = await begin(context, route);
    const side = context.fleet.getProgram(`side-${route.upstream}`);
    side.send('SIGSTOP');
    engine.end(LAST);
    await wait(RESET_DELAY_MS);
    resetConnection(engine);
    side.send('SIGCONT');
    await assertWhole(caller);
  });
});

/** Spends the retry budget of an entry, which has a window of 30 s. */
async function spendRetries(context: ManualContext): Promise<void> {
  const service = getService(context, READ);
  Object.assign(service, { isBroken: true });
  const caller = call(context.fleet, READ);
  await caller.ended;
  Object.assign(service, { isBroken: false });
  assert.match(caller.text, /retry-budget-spent/u);
}

/** Guards against a response that is given up for a retry that may not be made. */
test('a read is whole if its upstream is slow and the retry budget is spent', async (context) => {
  await spendRetries(context);
  const { caller, engine } = await submit(context, READ);
  await wait(SLOW_MS);
  engine.end(`${writeHead()}${WHOLE}`);
  await assertWhole(caller);
});

test('a read is whole if its link is down a while and the retry budget is spent', async (context) => {
  await spendRetries(context);
  const { caller, engine, relay } = await submit(context, READ);
  relay.hold(RelayDirection.FromTarget);
  engine.end(`${writeHead()}${WHOLE}`);
  await wait(READ_MS);
  relay.hold(RelayDirection.ToTarget);
  relay.cut();
  await wait(OUTAGE_MS);
  relay.release(RelayDirection.ToTarget);
  relay.release(RelayDirection.FromTarget);
  await assertWhole(caller);
});

test.run();
