/** Answers of an entry without a length and without chunks, which end with their connection. */
import { OrderState } from '@radishbay/core/model/order.js';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { runCommandLine } from '../src/commandLine.js';
import { ExitCode } from '../src/exitCode.js';

import { FakeEntry } from './fakeEntry.js';

const QUERY_ARGS = ['ask', 'load'];

const DRAIN_ARGS = ['order', 'drain', 'zone-a'];

const RECEIPT = { orderId: 'o1', version: 7, forecast: [] };

const STATUS = {
  orderId: 'o1',
  state: OrderState.InForce,
  action: 'drain-domain',
  target: 'zone-a',
  by: 'ann',
  version: 7,
  fromVersion: 6,
  inForceOn: 2,
  of: 2,
  missing: [],
};

const test = suite('answers that end with their connection');

/** Runs a command against an entry that gives these bodies in turn, and the last one repeatedly. */
async function run(args: readonly string[], bodies: readonly string[]) {
  const entry = new FakeEntry(
    bodies.map((text) => ({
      status: 0,
      body: undefined,
      rawText: `HTTP/1.1 200 OK\r\n\r\n${text}`,
    })),
  );
  const output = { write: () => {}, writeError: () => {} };
  const environment = { RADISHBAY_ENTRY: await entry.start() };
  const exitCode = await runCommandLine(args, environment, output);
  entry.stop();
  return { exitCode, calls: entry.calls.length };
}

test('a whole answer counts, and no call is repeated', async () => {
  const query = await run(QUERY_ARGS, ['{"rows":[]}']);
  assert.equal(query, { exitCode: ExitCode.Done, calls: 1 });
  const accepted = await run(DRAIN_ARGS, [JSON.stringify(RECEIPT)]);
  assert.equal(accepted, { exitCode: ExitCode.Accepted, calls: 1 });
  const waited = await run(
    [...DRAIN_ARGS, '--wait'],
    [RECEIPT, STATUS].map((body) => JSON.stringify(body)),
  );
  assert.equal(waited, { exitCode: ExitCode.Done, calls: 2 });
});

test('part of an answer to a query does not count', async () => {
  assert.is((await run(QUERY_ARGS, ['{"rows":[]'])).exitCode, ExitCode.Unreachable);
});

test('an order of whose answer part is lost is read back, not sent again', async () => {
  const cut = JSON.stringify(RECEIPT).slice(0, -1);
  const known = await run(DRAIN_ARGS, [cut, JSON.stringify(STATUS)]);
  assert.is(known.exitCode, ExitCode.Done);
  const unknown = await run(DRAIN_ARGS, [cut]);
  assert.equal(unknown, { exitCode: ExitCode.Unknown, calls: 2 });
});

test.run();
