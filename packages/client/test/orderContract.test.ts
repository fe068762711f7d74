import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';

import { ConfigView } from '@radishbay/core/config/configView.js';
import { ConfigKind, formatConfigKey } from '@radishbay/core/config/object.js';
import type { OperatorOrder } from '@radishbay/core/model/order.js';
import { planOrder } from '@radishbay/core/orders/orderPlan.js';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { runCommandLine } from '../src/commandLine.js';

import { FakeEntry } from './fakeEntry.js';

interface Context {
  dir: string;
  file: string;
}

const POOL = { name: 'songs', kind: 'plain' };
const GROUP = { name: 'g1', pool: 'songs', ranks: 2, slotsPerRank: 8, expertBytes: 1 };
const OBJECTS = new Map<string, Readonly<Record<string, unknown>>>([
  [formatConfigKey(ConfigKind.Domain, 'zone-a'), { name: 'zone-a' }],
  [formatConfigKey(ConfigKind.Pool, 'songs'), POOL],
  [formatConfigKey(ConfigKind.Pool, 'spare'), { ...POOL, name: 'spare' }],
  [formatConfigKey(ConfigKind.Group, 'g1'), GROUP],
]);
const COMMANDS = [
  'drain zone-a --move-after-ms 500',
  'restore zone-a',
  'set retry-share 0.2',
  'set rebalance-paused true',
  'put pool/songs --file FILE',
  'remove pool/spare',
  'pause g1',
  'resume all',
];
const test = suite<Context>('orders');

function createView(): ConfigView {
  const view = new ConfigView();
  const objects = [...OBJECTS].map(([key, value], index) => ({ key, value, version: index + 1 }));
  view.apply(objects, objects.length, true);
  return view;
}

/** Runs a command and returns the order that it sends to the entry. */
async function captureOrder(command: string, file: string): Promise<OperatorOrder> {
  const entry = new FakeEntry([{ status: 202, body: { orderId: 'o', version: 1, forecast: [] } }]);
  const args = ['order', ...command.replace('FILE', file).split(' ')];
  const environment = { RADISHBAY_ENTRY: await entry.start() };
  await runCommandLine(args, environment, { write: () => {}, writeError: () => {} });
  entry.stop();
  return { ...(JSON.parse(entry.calls[0]?.body ?? '') as OperatorOrder), by: 'ann' };
}

test.before(async (context) => {
  context.dir = await mkdtemp(path.join(tmpdir(), 'radishbay-'));
  context.file = path.join(context.dir, 'pool.yaml');
  await writeFile(context.file, 'kind: plain\nqueueLimit: 5\n');
});

test.after(async ({ dir }) => {
  await rm(dir, { recursive: true });
});

COMMANDS.forEach((command) => {
  test(`an entry can plan and apply the order of: ${command}`, async ({ file }) => {
    const order = await captureOrder(command, file);
    const plan = planOrder(order, createView());
    const change = plan.ok ? plan.val.apply(OBJECTS.get(plan.val.key)) : plan;
    assert.ok(change.ok, String(change.val));
  });
});

test.run();
