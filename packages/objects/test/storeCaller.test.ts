/** A store that writes an earlier refusal once more on a connection that is in use again. */
import net, { type AddressInfo } from 'node:net';

import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { StoreCaller } from '../src/storeCaller.js';

const REFUSAL = 'HTTP/1.1 503 Unavailable\r\ncontent-length: 2\r\n\r\n{}';

const CALL_TIMEOUT_MS = 5_000;

interface Context {
  server: net.Server;
  sockets: Set<net.Socket>;
  caller: StoreCaller;
  url: (path: string) => URL;
}

const test = suite<Context>('refusals of a store');

/** Answers with the path of each call; refuses the first one, and repeats that before the next. */
function answerCalls(socket: net.Socket, state: { isRefused: boolean }): void {
  let copy = '';
  socket.on('data', (data) => {
    const [, path = ''] = data.toString('latin1').split(' ');
    if (!state.isRefused) {
      Object.assign(state, { isRefused: true });
      copy = REFUSAL;
      socket.write(REFUSAL);
      return;
    }
    socket.write(`${copy}HTTP/1.1 200 OK\r\ncontent-length: ${path.length}\r\n\r\n${path}`);
    copy = '';
  });
}

test.before.each(async (context) => {
  const sockets = new Set<net.Socket>();
  const state = { isRefused: false };
  const server = net.createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => {});
    answerCalls(socket, state);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const caller = new StoreCaller({
    headers: {},
    callTimeoutMs: CALL_TIMEOUT_MS,
    watchMarginMs: 0,
    connectionLimit: 1,
  });
  const url = (path: string) => new URL(`http://127.0.0.1:${port}${path}`);
  Object.assign(context, { server, sockets, caller, url });
});

test.after.each(({ server, sockets, caller }) => {
  caller.close();
  sockets.forEach((socket) => socket.destroy());
  server.close();
});

/** Guards against a write that counts as not done although it was. */
['PUT', 'GET'].forEach((method) => {
  test(`a copy of an earlier refusal is not the response to a ${method}`, async (context) => {
    const { caller, url } = context;
    const paths = ['/first', '/second', '/third'];
    const received: string[] = [];
    for (let at = 0; at < paths.length; at += 1) {
      const call = { method, url: url(paths[at] ?? '') };
      // eslint-disable-next-line no-await-in-loop -- each call follows the one before
      const { status, text } = (await caller.send(call)).unwrap();
      received.push(status === 200 ? text : String(status));
    }
    assert.equal(received, ['503', '/second', '/third']);
  });
});

test.run();
