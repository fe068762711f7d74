import { OrderErrorKind, OrderState } from '@radishbay/core/model/order.js';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { runCommandLine } from '../src/commandLine.js';
import { ExitCode } from '../src/exitCode.js';

import { FakeEntry, CONNECTION_LOST, type CannedResponse } from './fakeEntry.js';

const RECEIPT_RESPONSE: CannedResponse = {
  status: 202,
  body: { orderId: 'o1', version: 7, forecast: [] },
};
const DRAIN_ARGS = ['order', 'drain', 'zone-a'];
const UNREACHABLE_ENTRY = 'http://127.0.0.1:1';

interface RunResult {
  readonly exitCode: ExitCode;
  readonly text: string;
  readonly errors: string;
  readonly entry: FakeEntry;
}

function createStatusResponse(state: OrderState): CannedResponse {
  const identity = { action: 'drain-domain', target: 'zone-a', by: 'ann', missing: [] };
  const counts = { version: 7, fromVersion: 6, inForceOn: 1, of: 2 };
  return { status: 200, body: { orderId: 'o1', state, ...identity, ...counts } };
}

function createErrorResponse(status: number, kind: OrderErrorKind): CannedResponse {
  return { status, body: { error: { kind, detail: 'why', orderId: '' } } };
}

async function run(
  args: readonly string[],
  responses: readonly CannedResponse[],
  earlierEntries: readonly string[] = [],
): Promise<RunResult> {
  const entry = new FakeEntry(responses);
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
  const environment = {
    RADISHBAY_ENTRY: [...earlierEntries, url].join(','),
    RADISHBAY_TOKEN: 'secret',
  };
  const exitCode = await runCommandLine(args, environment, output);
  entry.stop();
  return { exitCode, text, errors, entry };
}

test('rows are printed as aligned columns with right-aligned numbers', async () => {
  const rows = [
    { name: 'a', limit: 5 },
    { name: 'long', limit: 120 },
  ];
  const { text } = await run(['ask', 'upstreams'], [{ status: 200, body: { rows } }]);
  assert.is(text, 'name  limit\na         5\nlong    120\n');
});

test('--json prints rows as JSON', async () => {
  const rows = [{ name: 'a' }];
  const { text } = await run(['ask', 'load', '--json'], [{ status: 200, body: { rows } }]);
  assert.equal(JSON.parse(text), rows);
});

test('filters are sent as query parameters, with the token as bearer token', async () => {
  const args = ['ask', 'upstreams', '--filter', 'pool=a', '--filter', 'domain=b'];
  const { entry } = await run(args, [{ status: 200, body: { rows: [] } }]);
  assert.is(entry.calls[0]?.url, '/operator/v1/query/upstreams?pool=a&domain=b');
  assert.is(entry.calls[0]?.token, 'Bearer secret');
});

test('the next entry is queried when one is unreachable', async () => {
  const responses = [{ status: 200, body: { rows: [] } }];
  assert.is((await run(['ask', 'load'], responses, [UNREACHABLE_ENTRY])).exitCode, ExitCode.Done);
});

test('an order that is accepted but not in force has its own exit code', async () => {
  const { exitCode, entry } = await run(
    [...DRAIN_ARGS, '--move-after-ms', '50', '--force'],
    [RECEIPT_RESPONSE],
  );
  assert.is(exitCode, ExitCode.Accepted);
  assert.equal(JSON.parse(entry.calls[0]?.body ?? ''), {
    action: 'drain-domain',
    target: 'zone-a',
    params: { moveAfterMs: 50 },
    isForced: true,
  });
});

test('waiting ends when the order is in force', async () => {
  const responses = [
    RECEIPT_RESPONSE,
    createStatusResponse(OrderState.Accepted),
    createStatusResponse(OrderState.InForce),
  ];
  const { exitCode, entry } = await run([...DRAIN_ARGS, '--wait', '--poll-ms', '1'], responses);
  assert.is(exitCode, ExitCode.Done);
  assert.is(entry.calls.length, 3);
});

test('the forecast is shown before the wait', async () => {
  const forecast = [{ domain: 'zone-b', pool: 'p', loadBefore: 1, loadAfter: 2, limit: 4 }];
  const receipt = { status: 202, body: { orderId: 'o1', version: 7, forecast } };
  const { text } = await run(
    [...DRAIN_ARGS, '--wait'],
    [receipt, createStatusResponse(OrderState.InForce)],
  );
  assert.ok(text.indexOf('loadAfter') < text.indexOf('in-force'), text);
});

test('an order that is not in force after the wait time is reported as accepted', async () => {
  const responses = [RECEIPT_RESPONSE, createStatusResponse(OrderState.Accepted)];
  const args = [...DRAIN_ARGS, '--wait', '--wait-ms', '3', '--poll-ms', '1'];
  assert.is((await run(args, responses)).exitCode, ExitCode.Accepted);
});

test('an accepted order that cannot be read back is reported as accepted', async () => {
  const args = [...DRAIN_ARGS, '--wait', '--wait-ms', '3', '--poll-ms', '1'];
  assert.is((await run(args, [RECEIPT_RESPONSE, CONNECTION_LOST])).exitCode, ExitCode.Accepted);
});

test('a refused order prints the reason', async () => {
  const { exitCode, errors } = await run(DRAIN_ARGS, [
    createErrorResponse(422, OrderErrorKind.Overload),
  ]);
  assert.is(exitCode, ExitCode.Refused);
  assert.match(errors, 'overload: why');
});

test('an order fails as unreachable when the entry cannot reach the platform', async () => {
  const responses = [createErrorResponse(503, OrderErrorKind.PlatformUnavailable)];
  assert.is((await run(DRAIN_ARGS, responses)).exitCode, ExitCode.Unreachable);
});

test('an order whose response is lost is read back by its id', async () => {
  const { exitCode, entry } = await run(DRAIN_ARGS, [
    CONNECTION_LOST,
    createStatusResponse(OrderState.InForce),
  ]);
  assert.is(exitCode, ExitCode.Done);
  assert.is(entry.calls[1]?.url, `/operator/v1/orders/${entry.calls[0]?.orderId}`);
});

test('an order whose response is lost and that is not found has an unknown outcome', async () => {
  const { exitCode, errors, entry } = await run(DRAIN_ARGS, [
    CONNECTION_LOST,
    createStatusResponse(OrderState.NotFound),
  ]);
  assert.is(exitCode, ExitCode.Unknown);
  assert.match(errors, `radishbay order show ${entry.calls[0]?.orderId}`);
});

test('an order whose response is lost is not submitted to another entry', async () => {
  const first = new FakeEntry([CONNECTION_LOST]);
  const { entry } = await run(
    DRAIN_ARGS,
    [createStatusResponse(OrderState.NotFound)],
    [await first.start()],
  );
  first.stop();
  assert.equal(
    entry.calls.map(({ method }) => method),
    ['GET'],
  );
});

Object.entries({
  'status 000': 'HTTP/1.1 000 Odd\r\ncontent-length: 2\r\n\r\n{}',
  'status 600': 'HTTP/1.1 600 Odd\r\ncontent-length: 2\r\n\r\n{}',
  'a blank in a field name': 'HTTP/1.1 200 OK\r\nx odd: 1\r\ncontent-length: 2\r\n\r\n{}',
  'a control byte in a field name': 'HTTP/1.1 200 OK\r\nx\u0001: 1\r\ncontent-length: 2\r\n\r\n{}',
  'a blank before a field name':
    'HTTP/1.1 200 OK\r\nx: 1\r\n content-length: 11\r\n\r\n{"rows":[]}',
  'a blank behind a field name': 'HTTP/1.1 200 OK\r\ncontent-length : 11\r\n\r\n{"rows":[]}',
  'a tab before a field name': 'HTTP/1.1 200 OK\r\nx: 1\r\n\tx: 1\r\n\r\n{"rows":[]}',
  'half a head': 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n',
}).forEach(([description, rawText]) => {
  const response: CannedResponse = { status: 0, body: undefined, rawText };

  test(`an answer with ${description} is none to a query`, async () => {
    const { exitCode, errors } = await run(['ask', 'upstreams'], [response]);
    assert.is(exitCode, ExitCode.Unreachable);
    assert.match(errors, /unreachable: http/u);
  });

  test(`an answer with ${description} leaves the outcome of an order unknown`, async () => {
    const { exitCode, errors, entry } = await run(DRAIN_ARGS, [response]);
    assert.is(exitCode, ExitCode.Unknown);
    assert.match(errors, `radishbay order show ${entry.calls[0]?.orderId}`);
  });
});

const ODD_BODIES: readonly unknown[] = [
  [],
  {},
  { rows: [null], orderId: 5 },
  { rows: [{ name: { toString: 1 } }], orderId: 'o1', version: 7, forecast: null },
  { rows: {}, orderId: 'o1', version: 7, forecast: [null], state: 'odd', missing: [] },
  { rows: 'all', orderId: 'o1', state: OrderState.InForce, missing: [null] },
];

ODD_BODIES.forEach((body) => {
  test(`the answer ${JSON.stringify(body)} is none to a query`, async () => {
    const { exitCode, errors } = await run(['ask', 'upstreams'], [{ status: 200, body }]);
    assert.is(exitCode, ExitCode.Unreachable);
    assert.match(errors, /the answer cannot be decoded/u);
  });

  test(`the answer ${JSON.stringify(body)} is no status of an order`, async () => {
    const { exitCode, errors } = await run(['order', 'show', 'o1'], [{ status: 200, body }]);
    assert.is(exitCode, ExitCode.Unreachable);
    assert.match(errors, /the answer cannot be decoded/u);
  });

  test(`an order whose receipt is ${JSON.stringify(body)} is read back by its id`, async () => {
    const { exitCode, entry } = await run(DRAIN_ARGS, [
      { status: 202, body },
      createStatusResponse(OrderState.InForce),
    ]);
    assert.is(exitCode, ExitCode.Done);
    assert.is(entry.calls[1]?.url, `/operator/v1/orders/${entry.calls[0]?.orderId}`);
  });
});

test('fields that the command line does not know are kept in JSON', async () => {
  const rows = [{ name: 'a', added: true }];
  const body = { rows, revision: 4 };
  const { text } = await run(['ask', 'load', '--json'], [{ status: 200, body }]);
  assert.equal(JSON.parse(text), rows);
  const { body: status } = createStatusResponse(OrderState.InForce);
  const more = { ...(status as object), added: 1 };
  const shown = await run(['order', 'show', 'o1', '--json'], [{ status: 200, body: more }]);
  assert.equal(JSON.parse(shown.text), more);
});

test('an order fails as unreachable when no entry can be reached', async () => {
  const args = [...DRAIN_ARGS, '--entry', UNREACHABLE_ENTRY];
  assert.is((await run(args, [RECEIPT_RESPONSE])).exitCode, ExitCode.Unreachable);
});

test('an unknown query kind is a usage error that lists the kinds', async () => {
  const { exitCode, errors } = await run(['ask', 'weather'], [RECEIPT_RESPONSE]);
  assert.is(exitCode, ExitCode.Usage);
  assert.match(errors, 'upstreams');
});

test('a superseded order has its own exit code', async () => {
  const { exitCode } = await run(
    ['order', 'show', 'o1'],
    [createStatusResponse(OrderState.Superseded)],
  );
  assert.is(exitCode, ExitCode.Superseded);
});

test('an order is read back by its id without a subcommand', async () => {
  const { exitCode } = await run(['order', 'o1'], [createStatusResponse(OrderState.InForce)]);
  assert.is(exitCode, ExitCode.Done);
});

test('a misspelled order subcommand is a usage error and calls no entry', async () => {
  const { exitCode, entry } = await run(['order', 'drian', 'zone-a'], [RECEIPT_RESPONSE]);
  assert.is(exitCode, ExitCode.Usage);
  assert.is(entry.calls.length, 0);
});

test.run();
