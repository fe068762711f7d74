/** Entries and side processes in front of upstreams whose responses a test writes by itself. */
import type net from 'node:net';

import * as assert from 'uvu/assert';

import { wait } from '@radishbay/core/wait.js';

import { Fleet } from '../../src/fleet/fleet.js';
import { planSampleFleet, SAMPLE_MODEL } from '../../src/fleet/fleetPlan.js';
import { ManualServer } from '../../src/http/manualServer.js';
import { ObservedCall } from '../../src/http/observedCall.js';

const MODEL = 'assistant-a1';
const PLAIN = 'exchange-a1';

const POLL_MS = 5;
const WAIT_LIMIT_MS = 10_000;

const HEAD = 'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n';

/** Response in two parts, which end at the end of an event. */
export const FIRST = 'id: 1\ndata: do\n\nid: 2\ndata: re\n\n';
export const LAST = 'id: 3\ndata: mi\n\n';
export const WHOLE = `${FIRST}${LAST}`;

/** A kind of request and the only upstream that answers it. */
export interface Route {
  readonly upstream: string;
  readonly method: string;
  readonly path: string;
  readonly body?: unknown;
}

export const WRITE: Route = { upstream: PLAIN, method: 'POST', path: '/swaps', body: {} };

export const READ: Route = { upstream: PLAIN, method: 'GET', path: '/sets' };

export const STREAM: Route = {
  upstream: MODEL,
  method: 'POST',
  path: '/v1/completions',
  body: { model: SAMPLE_MODEL, prompt: 'sing', stream: true },
};

export interface ManualContext {
  services: ReadonlyMap<string, ManualServer>;
  fleet: Fleet;
}

/** Starts two entries, and a side process with a relay in front of each upstream. */
export async function startManualFleet(context: Partial<ManualContext>): Promise<void> {
  const services = new Map([MODEL, PLAIN].map((name) => [name, new ManualServer()]));
  await Promise.all([...services.values()].map((service) => service.start()));
  const plan = planSampleFleet(2, 1);
  context.services = services;
  context.fleet = await Fleet.start({
    plan: { ...plan, upstreams: plan.upstreams.filter(({ name }) => services.has(name)) },
    engineUrls: new Map(
      [...services].map(([name, { port }]) => [name, `http://127.0.0.1:${port}`]),
    ),
    hasRelays: true,
  });
}

export async function stopManualFleet({ services, fleet }: ManualContext): Promise<void> {
  await fleet.stop();
  await Promise.all([...services.values()].map((service) => service.stop()));
}

export async function waitUntil(
  isDone: () => boolean,
  endAtMs = performance.now() + WAIT_LIMIT_MS,
): Promise<void> {
  if (isDone()) return;
  assert.ok(performance.now() < endAtMs, 'the condition is met in time');
  await wait(POLL_MS);
  await waitUntil(isDone, endAtMs);
}

/** Starts a call at an entry. */
export function call(fleet: Fleet, route: Route, entryIndex = 0, key?: string): ObservedCall {
  const { method, path, body } = route;
  const url = `${fleet.entries[entryIndex]?.callersUrl}${path}`;
  const headers = {
    authorization: 'Bearer choir-key-0001',
    'content-type': 'application/json',
    ...(key ? { 'idempotency-key': key } : {}),
  };
  return new ObservedCall({ url, method, headers, body });
}

/** Waits for the next request of an upstream. */
async function waitForRequest(service: ManualServer): Promise<net.Socket> {
  const taken: net.Socket[] = [];
  await waitUntil(() => {
    const socket = service.takeRequest();
    if (socket) taken.push(socket);
    return socket !== undefined;
  });
  return taken[0] as net.Socket;
}

/** The upstream of a route. */
export function getService({ services }: ManualContext, { upstream }: Route): ManualServer {
  return services.get(upstream) as ManualServer;
}

/** Starts a call and waits until the upstream has its request. */
export async function submit(context: ManualContext, route: Route, key?: string) {
  const caller = call(context.fleet, route, 0, key);
  const engine = await waitForRequest(getService(context, route));
  return { caller, engine, relay: context.fleet.getRelay(route.upstream) };
}

/** A call, the upstream's connection for it, and the relay in front of the side process. */
export type ManualCall = Awaited<ReturnType<typeof submit>>;

/** Head of a response that is framed by further header lines, if there are any. */
export function writeHead(framing = ''): string {
  return `${HEAD}${framing}\r\n`;
}

/** Starts a call and waits until its caller has the first part of an unframed response. */
export async function begin(
  context: ManualContext,
  route: Route,
  key?: string,
): Promise<ManualCall> {
  const begun = await submit(context, route, key);
  begun.engine.write(`${writeHead()}${FIRST}`);
  await waitUntil(() => begun.caller.text === FIRST);
  return begun;
}

export async function assertWhole(caller: ObservedCall): Promise<void> {
  const isWhole = await caller.ended;
  assert.equal([caller.status, caller.text, isWhole], [200, WHOLE, true]);
}
