import { OrderErrorKind, OrderState } from '@radishbay/core/model/order.js';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { runCommandLine } from '../src/commandLine.js';
import { ExitCode } from '../src/exitCode.js';

import { FakeEntry, LOST, type Canned } from './fakeEntry.js';

const RECEIPT: Canned = { status: 202, body: { orderId: 'o1', version: 7, forecast: [] } };
const DRAIN = ['order', 'drain', 'zone-a'];
const DEAD_ENTRY = 'http://127.0.0.1:1';

interface Run {
  readonly exitCode: ExitCode;
  readonly text: string;
  readonly errors: string;
  readonly entry: FakeEntry;
}

function statusOf(state: OrderState): Canned {
  const marks = { action: 'drain-domain', target: 'zone-a', by: 'ann', missing: [] };
  const counts = { version: 7, fromVersion: 6, inForceOn: 1, of: 2 };
  return { status: 200, body: { orderId: 'o1', state, ...marks, ...counts } };
}

function errorOf(status: number, kind: OrderErrorKind): Canned {
  return { status, body: { error: { kind, detail: 'why', orderId: '' } } };
}

async function run(
  words: readonly string[],
  answers: readonly Canned[],
  before: readonly string[] = [],
): Promise<Run> {
  const entry = new FakeEntry(answers);
  const url = await entry.start();
  let text = '';
  let errors = '';
  const output = {
    write: (part: string) => {
      text += part;
    },
    writeError: (part: string) => {
      errors += part;
    },
  };
  const environment = { RADISHBAY_ENTRY: [...before, url].join(','), RADISHBAY_TOKEN: 'secret' };
  const exitCode = await runCommandLine(words, environment, output);
  entry.stop();
  return { exitCode, text, errors, entry };
}

test('rows are printed as aligned columns with numbers to the right', async () => {
  const rows = [
    { name: 'a', limit: 5 },
    { name: 'long', limit: 120 },
  ];
  const { text } = await run(['ask', 'upstreams'], [{ status: 200, body: { rows } }]);
  assert.is(text, 'name  limit\na         5\nlong    120\n');
});

test('rows are printed as JSON for scripts', async () => {
  const rows = [{ name: 'a' }];
  const { text } = await run(['ask', 'load', '--json'], [{ status: 200, body: { rows } }]);
  assert.equal(JSON.parse(text), rows);
});

test('filters travel as query parameters under the token', async () => {
  const words = ['ask', 'upstreams', '--filter', 'pool=a', '--filter', 'domain=b'];
  const { entry } = await run(words, [{ status: 200, body: { rows: [] } }]);
  assert.is(entry.calls[0]?.url, '/operator/v1/query/upstreams?pool=a&domain=b');
  assert.is(entry.calls[0]?.token, 'Bearer secret');
});

test('the next entry is asked when one is unreachable', async () => {
  const answers = [{ status: 200, body: { rows: [] } }];
  assert.is((await run(['ask', 'load'], answers, [DEAD_ENTRY])).exitCode, ExitCode.Done);
});

test('an order that is only accepted is told apart from one in force', async () => {
  const { exitCode, entry } = await run([...DRAIN, '--move-after-ms', '50', '--force'], [RECEIPT]);
  assert.is(exitCode, ExitCode.Accepted);
  assert.equal(JSON.parse(entry.calls[0]?.body ?? ''), {
    action: 'drain-domain',
    target: 'zone-a',
    params: { moveAfterMs: 50 },
    isForced: true,
  });
});

test('waiting ends when the order is in force', async () => {
  const answers = [RECEIPT, statusOf(OrderState.Accepted), statusOf(OrderState.InForce)];
  const { exitCode, entry } = await run([...DRAIN, '--wait', '--poll-ms', '1'], answers);
  assert.is(exitCode, ExitCode.Done);
  assert.is(entry.calls.length, 3);
});

test('the forecast is shown before the wait', async () => {
  const forecast = [{ domain: 'zone-b', pool: 'p', loadBefore: 1, loadAfter: 2, limit: 4 }];
  const receipt = { status: 202, body: { orderId: 'o1', version: 7, forecast } };
  const { text } = await run([...DRAIN, '--wait'], [receipt, statusOf(OrderState.InForce)]);
  assert.ok(text.indexOf('loadAfter') < text.indexOf('in-force'), text);
});

test('waiting ends at its bound with the order still accepted', async () => {
  const answers = [RECEIPT, statusOf(OrderState.Accepted)];
  const words = [...DRAIN, '--wait', '--wait-ms', '3', '--poll-ms', '1'];
  assert.is((await run(words, answers)).exitCode, ExitCode.Accepted);
});

test('an accepted order that cannot be read back is still accepted', async () => {
  const words = [...DRAIN, '--wait', '--wait-ms', '3', '--poll-ms', '1'];
  assert.is((await run(words, [RECEIPT, LOST])).exitCode, ExitCode.Accepted);
});

test('a refused order names the reason', async () => {
  const { exitCode, errors } = await run(DRAIN, [errorOf(422, OrderErrorKind.Overload)]);
  assert.is(exitCode, ExitCode.Refused);
  assert.match(errors, 'overload: why');
});

test('an order that the platform was not reached for changed nothing', async () => {
  const answers = [errorOf(503, OrderErrorKind.PlatformUnavailable)];
  assert.is((await run(DRAIN, answers)).exitCode, ExitCode.Unreachable);
});

test('an order whose answer is lost is read back under the id it was given', async () => {
  const { exitCode, entry } = await run(DRAIN, [LOST, statusOf(OrderState.InForce)]);
  assert.is(exitCode, ExitCode.Done);
  assert.is(entry.calls[1]?.url, `/operator/v1/orders/${entry.calls[0]?.orderId}`);
});

test('an order whose answer is lost and that has no trace stays unknown', async () => {
  const { exitCode, errors, entry } = await run(DRAIN, [LOST, statusOf(OrderState.NotFound)]);
  assert.is(exitCode, ExitCode.Unknown);
  assert.match(errors, `radishbay order show ${entry.calls[0]?.orderId}`);
});

test('an order whose answer is lost is not given to another entry', async () => {
  const first = new FakeEntry([LOST]);
  const { entry } = await run(DRAIN, [statusOf(OrderState.NotFound)], [await first.start()]);
  first.stop();
  assert.equal(
    entry.calls.map(({ method }) => method),
    ['GET'],
  );
});

test('no entry within reach has an exit code of its own', async () => {
  const words = [...DRAIN, '--entry', DEAD_ENTRY];
  assert.is((await run(words, [RECEIPT])).exitCode, ExitCode.Unreachable);
});

test('an unknown kind of rows is a usage error that names the kinds', async () => {
  const { exitCode, errors } = await run(['ask', 'weather'], [RECEIPT]);
  assert.is(exitCode, ExitCode.Usage);
  assert.match(errors, 'upstreams');
});

test('a superseded order is told apart from one in force', async () => {
  const { exitCode } = await run(['order', 'show', 'o1'], [statusOf(OrderState.Superseded)]);
  assert.is(exitCode, ExitCode.Superseded);
});

test('an order is read back by its id alone', async () => {
  const { exitCode } = await run(['order', 'o1'], [statusOf(OrderState.InForce)]);
  assert.is(exitCode, ExitCode.Done);
});

test('a misspelt order is a usage error', async () => {
  const { exitCode, entry } = await run(['order', 'drian', 'zone-a'], [RECEIPT]);
  assert.is(exitCode, ExitCode.Usage);
  assert.is(entry.calls.length, 0);
});

test.run();
