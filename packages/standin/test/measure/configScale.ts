/**
 * Measures how configuration and membership grow with the entries: platform calls, messages, bytes,
 * processor time, and the time for a drain to be in force.
 *
 * Run by hand: node packages/standin/dist/test/measure/configScale.js [ENTRIES...]
 */
import { DomainState } from '@radishbay/core/config/object.js';
import { OrderState } from '@radishbay/core/model/order.js';
import { encodeFrame } from '@radishbay/link/codec/frameCodec.js';

import { StoreOperation } from '../../src/platform/storeFault.js';
import { inSequence } from '../support/inSequence.js';
import { TestFleet } from '../support/testFleet.js';

const SETTLE_MS = 15_000;
const MEASURED_MS = 10_000;
const LOOK_MS = 50;
const LIMIT_MS = 30_000;
const UPSTREAMS_PER_DOMAIN = 4;

interface Counts {
  reads: number;
  writes: number;
  messages: number;
  bytes: number;
}

function isWrite(operation: StoreOperation): boolean {
  return operation === StoreOperation.Put || operation === StoreOperation.Remove;
}

/** Counts what entries send in a quiet span. */
async function measureQuiet(fleet: TestFleet): Promise<Counts & { cpuMs: number }> {
  const counts: Counts = { reads: 0, writes: 0, messages: 0, bytes: 0 };
  const stopObserving = fleet.platform.observe(({ operation }) => {
    if (isWrite(operation)) counts.writes += 1;
    else counts.reads += 1;
    return undefined;
  });
  const cpuBefore = process.cpuUsage();
  await fleet.advance(MEASURED_MS);
  const cpu = process.cpuUsage(cpuBefore);
  stopObserving();
  Object.assign(fleet.network, {
    onSend: (node: string, message: Parameters<typeof encodeFrame>[0][number]) => {
      if (!node.startsWith('entry')) return;
      counts.messages += 1;
      counts.bytes += encodeFrame([message]).length;
    },
  });
  await fleet.advance(MEASURED_MS);
  Object.assign(fleet.network, { onSend: undefined });
  return { ...counts, cpuMs: (cpu.user + cpu.system) / 1_000 };
}

/** Time from giving a drain until it is applied everywhere, and until it is read as in force. */
async function measureDrain(fleet: TestFleet): Promise<{ appliedMs: number; inForceMs: number }> {
  const startedAtMs = Date.now();
  const times = { appliedMs: Number.NaN, inForceMs: Number.NaN };
  const given = fleet.entry(0).give({ target: 'zone-b', isForced: true }, 'order-1');
  const looks = new Array<number>(LIMIT_MS / LOOK_MS).fill(LOOK_MS);
  const isEverywhere = () =>
    [...fleet.entries.keys()].every(
      (_, index) => fleet.readDomain(index, 'zone-b') === DomainState.Drained,
    );
  await inSequence(looks, async (lookMs) => {
    if (!Number.isNaN(times.inForceMs)) return;
    const read = fleet.entry(0).read('order-1');
    await fleet.advance(lookMs);
    const passedMs = Date.now() - startedAtMs;
    if (Number.isNaN(times.appliedMs) && isEverywhere()) times.appliedMs = passedMs;
    const status = await read;
    if (status.ok && status.val.state === OrderState.InForce) times.inForceMs = passedMs;
  });
  await given;
  return times;
}

function perSecond(count: number): number {
  return (count * 1_000) / MEASURED_MS;
}

async function measure(entries: number): Promise<void> {
  const options = { isProbing: false, upstreamsPerDomain: UPSTREAMS_PER_DOMAIN };
  const fleet = new TestFleet(1, entries, options);
  try {
    await fleet.advance(SETTLE_MS);
    const current = [...fleet.entries.values()].filter(({ board }) => board.isCurrent).length;
    const quiet = await measureQuiet(fleet);
    const drain = await measureDrain(fleet);
    const columns = [
      entries,
      current,
      perSecond(quiet.reads).toFixed(1),
      perSecond(quiet.writes).toFixed(1),
      (perSecond(quiet.messages) / entries).toFixed(1),
      (perSecond(quiet.bytes) / entries).toFixed(0),
      (perSecond(quiet.cpuMs) / entries).toFixed(2),
      drain.appliedMs,
      drain.inForceMs,
    ];
    process.stdout.write(`${columns.join('\t')}\n`);
  } finally {
    fleet.end();
  }
}

const sizes = process.argv.slice(2).map(Number);
const header = 'entries current reads/s writes/s msg/s/entry B/s/entry cpu-ms/s/entry applied-ms';
process.stdout.write(`${header} in-force-ms\n`);
await inSequence(sizes.length > 0 ? sizes : [2, 4, 8, 16, 32], measure);
