import { createServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';

import { StoreErrorKind } from '@radishbay/core/ports/objectStore.js';
import { HttpObjectStore } from '@radishbay/objects/httpObjectStore.js';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { PlatformServer } from '../src/platform/platformServer.js';

import { ForgetfulProxy } from './forgetfulProxy.js';
import { getJson, postJson } from './httpClient.js';

interface Context {
  server: PlatformServer;
  store: HttpObjectStore;
  baseUrl: string;
}

const test = suite<Context>('HttpObjectStore');

test.before.each(async (context) => {
  context.server = new PlatformServer();
  context.baseUrl = `http://127.0.0.1:${await context.server.start(0)}`;
  context.store = new HttpObjectStore({ baseUrl: context.baseUrl, callTimeoutMs: 5_000 });
});

test.after.each(async (context) => {
  context.store.close();
  await context.server.stop();
});

/** Starts a server that accepts connections and never responds. */
function startSilentServer(): Promise<{ server: Server; baseUrl: string }> {
  const server = createServer((socket) => {
    socket.unref();
  });
  return new Promise((resolve) => {
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address() as AddressInfo;
      resolve({ server, baseUrl: `http://127.0.0.1:${port}` });
    });
  });
}

test('an object is read back by its key with the version of its write', async ({ store }) => {
  const version = await store.put('config/domain/a b', { name: 'x' }, 0);
  const object = await store.get('config/domain/a b');
  assert.equal(object.unwrap(), {
    key: 'config/domain/a b',
    version: version.unwrap(),
    value: { name: 'x' },
  });
});

test('reading a missing object is not an error', async ({ store }) => {
  assert.is((await store.get('config/none')).unwrap(), undefined);
});

test('a write against an older version is a conflict', async ({ store }) => {
  await store.put('k', 1, 0);
  const second = await store.put('k', 2, 0);
  assert.is(second.err && second.val.kind, StoreErrorKind.Conflict);
});

test('a list has the objects with the prefix and the revision of the store', async ({ store }) => {
  await store.put('a/1', 1, 0);
  await store.put('b/1', 1, 0);
  const list = (await store.list('a/')).unwrap();
  assert.is(list.revision, 2);
  assert.equal(
    list.objects.map((object) => object.key),
    ['a/1'],
  );
});

test('a waiting watch receives a removal', async ({ store }) => {
  const version = (await store.put('a/1', 1, 0)).unwrap();
  const watch = store.watch('a/', version, 5_000);
  await store.remove('a/1', version);
  const batch = (await watch).unwrap();
  assert.equal(batch.changes, [{ key: 'a/1', version: version + 1, value: undefined }]);
});

test('a watch from a compacted revision fails as compacted', async ({ store, baseUrl }) => {
  await store.put('a/1', 1, 0);
  await postJson(`${baseUrl}/compact`, {});
  const batch = await store.watch('a/', 0, 10);
  assert.is(batch.err && batch.val.kind, StoreErrorKind.Compacted);
});

test('a write during an outage has no effect and is unavailable', async ({ store, baseUrl }) => {
  await postJson(`${baseUrl}/faults`, { kind: 'down', count: 1 });
  const write = await store.put('k', 1, 0);
  assert.is(write.err && write.val.kind, StoreErrorKind.Unavailable);
  assert.is((await store.get('k')).unwrap(), undefined);
});

test('a throttled call is distinguished from an outage', async ({ store, baseUrl }) => {
  await postJson(`${baseUrl}/faults`, { kind: 'throttled', count: 1 });
  const write = await store.put('k', 1, 0);
  assert.is(write.err && write.val.kind, StoreErrorKind.Throttled);
});

test('a write whose answer is lost is unknown and has taken effect', async ({ store, baseUrl }) => {
  await postJson(`${baseUrl}/faults`, { kind: 'answer-lost', count: 1 });
  const write = await store.put('k', 1, 0);
  assert.is(write.err && write.val.kind, StoreErrorKind.Unknown);
  assert.is((await store.get('k')).unwrap()?.value, 1);
});

test('an outage without a count lasts until the fault is cleared', async ({ store, baseUrl }) => {
  await postJson(`${baseUrl}/faults`, { kind: 'down' });
  const first = await store.get('k');
  const second = await store.get('k');
  await postJson(`${baseUrl}/faults`, { kind: 'none' });
  assert.equal([first.ok, second.ok, (await store.get('k')).ok], [false, false, true]);
});

test('an outage aborts a waiting watch', async ({ store, baseUrl }) => {
  const watch = store.watch('a/', 0, 60_000);
  const waitForWatch = async (): Promise<void> => {
    if ((await getJson(`${baseUrl}/counts`)).watch !== 1) await waitForWatch();
  };
  await waitForWatch();
  await postJson(`${baseUrl}/faults`, { kind: 'down' });
  const batch = await watch;
  assert.is(batch.err && batch.val.kind, StoreErrorKind.Unavailable);
});

test('a write with a late effect is unknown and is applied afterwards', async (context) => {
  const { store, baseUrl } = context;
  await postJson(`${baseUrl}/faults`, { kind: 'late-effect', count: 1 });
  const write = await store.put('k', 1, 0);
  assert.is(write.err && write.val.kind, StoreErrorKind.Unknown);
  assert.is((await store.get('k')).unwrap(), undefined);
  const batch = await store.watch('k', 0, 60_000);
  assert.is(batch.unwrap().changes[0]?.value, 1);
});

test('a write over a silent connection is unknown', async () => {
  const silent = await startSilentServer();
  const store = new HttpObjectStore({ baseUrl: silent.baseUrl, callTimeoutMs: 50 });
  const write = await store.put('k', 1, 0);
  silent.server.close();
  assert.is(write.err && write.val.kind, StoreErrorKind.Unknown);
});

test('a watch over a silent connection times out', async () => {
  const silent = await startSilentServer();
  const store = new HttpObjectStore({ baseUrl: silent.baseUrl, callTimeoutMs: 50 });
  const batch = await store.watch('a/', 0, 10);
  silent.server.close();
  assert.is(batch.err && batch.val.kind, StoreErrorKind.Unavailable);
});

test('after one silent connection the other idle ones are not reused', async (context) => {
  const proxy = new ForgetfulProxy(Number(new URL(context.baseUrl).port));
  const store = new HttpObjectStore({ baseUrl: await proxy.start(), callTimeoutMs: 1_000 });
  await Promise.all([store.get('a'), store.get('b')]);
  assert.is(proxy.count, 2);
  proxy.silence();
  const first = await store.get('a');
  const second = await store.get('a');
  store.close();
  proxy.stop();
  assert.equal([first.ok, second.ok], [false, true]);
});

test('a write to a port without a listener is known to have failed', async ({ server, store }) => {
  await server.stop();
  const write = await store.put('k', 1, 0);
  assert.is(write.err && write.val.kind, StoreErrorKind.Unavailable);
});

test('the platform counts a waiting watch as one call', async ({ store, baseUrl }) => {
  await store.watch('a/', 0, 20);
  assert.equal(await getJson(`${baseUrl}/counts`), { watch: 1 });
});

test.run();
