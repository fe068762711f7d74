/**
 * What control costs by the number of processes: links, messages, platform calls, processor time,
 * heap, and the time for an order to be in force.
 *
 * Runs the real decision code on in-memory links under the fake clock. Processor time is that of
 * all simulated processes together, harness included, so the slopes are upper bounds.
 */
import { OrderAction, OrderState } from '@radishbay/core/model/order.js';
import { ConfigView } from '@radishbay/core/config/configView.js';
import { encodeFrame } from '@radishbay/link/codec/frameCodec.js';
import {
  LinkFaultInjector,
  NO_FAULT,
  type LinkFault,
  type LinkEvent,
} from '@radishbay/link/memory/linkFaults.js';

import { planSampleFleet } from '../fleet/fleetPlan.js';
import { World } from '../matrix/world.js';

const IDLE_MS = 20_000;
const ORDER_LIMIT_MS = 10_000;
const SIZES = [
  { entries: 2, modelsPerDomain: 1 },
  { entries: 2, modelsPerDomain: 4 },
  { entries: 4, modelsPerDomain: 4 },
  { entries: 8, modelsPerDomain: 4 },
  { entries: 8, modelsPerDomain: 8 },
] as const;
const WORKSPACES = 35_000;
const MS_PER_SECOND = 1_000;
const US_PER_MS = 1_000;
const KIB = 1_024;

/** Counts what passes between processes. */
class CountedTraffic extends LinkFaultInjector {
  messages = 0;

  bytes = 0;

  override decide(event: LinkEvent): LinkFault {
    this.messages += 1;
    this.bytes += encodeFrame([event.message]).length;
    return NO_FAULT;
  }
}

async function measureOrder(world: World): Promise<number> {
  const { process: owner, node } = world.getEntry('entry-1');
  const startedMs = Date.now();
  let isInForce = false;
  const order = {
    action: OrderAction.DrainDomain,
    target: 'zone-a',
    params: {},
    isForced: true,
    by: 'bench',
  };
  owner.post(() => {
    node.give(order, 'bench-order');
  });
  const read = () =>
    owner.post(() => {
      node.read('bench-order').then((status) => {
        isInForce ||= status.ok && status.val.state === OrderState.InForce;
      });
    });
  const timer = setInterval(read, 50);
  await world.clock.advanceUntil(() => isInForce, ORDER_LIMIT_MS);
  clearInterval(timer);
  return isInForce ? Date.now() - startedMs : Number.NaN;
}

async function measureFleet(entries: number, modelsPerDomain: number): Promise<void> {
  const traffic = new CountedTraffic();
  const world = new World(planSampleFleet(entries, modelsPerDomain), 1, traffic);
  try {
    await world.start();
    await world.clock.advance(IDLE_MS / 4);
    const callsBefore = world.platform.callCount;
    Object.assign(traffic, { messages: 0, bytes: 0 });
    const cpuBefore = process.cpuUsage();
    await world.clock.advance(IDLE_MS);
    const cpu = process.cpuUsage(cpuBefore);
    const seconds = IDLE_MS / MS_PER_SECOND;
    const { messages, bytes } = traffic;
    const calls = world.platform.callCount - callsBefore;
    const sides = world.sides.size;
    const links = entries * sides + (entries * (entries - 1)) / 2;
    const cpuMs = (cpu.user + cpu.system) / US_PER_MS;
    const orderMs = await measureOrder(world);
    process.stdout.write(
      `${entries} entries, ${sides} sides, ${links} links: ` +
        `${(messages / seconds / links).toFixed(2)} messages and ${(bytes / seconds / links).toFixed(0)} bytes/s a link, ` +
        `${(cpuMs / seconds / links).toFixed(3)} ms processor/s a link (both ends), ` +
        `${(calls / seconds / entries).toFixed(2)} platform calls/s an entry, ` +
        `order in force after ${orderMs.toFixed(0)} ms\n`,
    );
  } finally {
    world.dispose();
  }
}

/** Heap that the configuration of all workspaces adds to an entry. */
function measureConfig(): void {
  globalThis.gc?.();
  const before = process.memoryUsage().heapUsed;
  const view = new ConfigView();
  const changes = Array.from({ length: WORKSPACES }, (_, index) => ({
    key: `config/workspace/w${index}`,
    version: index + 1,
    value: {
      name: `w${index}`,
      keySha256: index.toString(16).padStart(64, '0'),
      requestsPerSecond: 10,
      burst: 20,
    },
  }));
  const startedMs = performance.now();
  view.apply(changes, WORKSPACES, true);
  const spanMs = performance.now() - startedMs;
  globalThis.gc?.();
  const heapKib = (process.memoryUsage().heapUsed - before) / KIB;
  process.stdout.write(
    `${view.revision} workspaces: taken in within ${spanMs.toFixed(0)} ms, ` +
      `${(heapKib / KIB).toFixed(1)} MiB of heap, ${((heapKib * KIB) / WORKSPACES).toFixed(0)} bytes each\n`,
  );
}

measureConfig();
await SIZES.reduce(async (before, { entries, modelsPerDomain }) => {
  await before;
  await measureFleet(entries, modelsPerDomain);
}, Promise.resolve());
