/** Malformed heads that Node's parser accepts with some options and in some releases. */
import http from 'node:http';
import net, { type AddressInfo } from 'node:net';

import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { ResponseReader } from '../src/responseReader.js';

const SOUND_HEAD = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n';

/** Beginning of a head whose other lines and end are given by the test. */
const STATUS_LINE = 'HTTP/1.1 200 OK\r\n';

/** What becomes of a response whose body is `ok`. */
const SOUND = 'ok';

const HEADS: Readonly<Record<string, string>> = {
  'a blank before a name': `${STATUS_LINE}X-Other: 1\r\n Content-Length: 2\r\n\r\n`,
  'a tab before a name': `${STATUS_LINE}X-Other: 1\r\n\tContent-Length: 2\r\n\r\n`,
  'a blank before the first name': `${STATUS_LINE} Content-Length: 2\r\n\r\n`,
  'a blank behind a name': `${STATUS_LINE}Content-Length : 2\r\n\r\n`,
  'a LF before a name': `${STATUS_LINE}X-Other: 1\r\n\nContent-Length: 2\r\n\r\n`,
  'a CR before a name': `${STATUS_LINE}X-Other: 1\r\n\rContent-Length: 2\r\n\r\n`,
  'a control byte in a value': `${STATUS_LINE}X-Other: a\u0001b\r\nContent-Length: 2\r\n\r\n`,
  'a control byte in the reason': `HTTP/1.1 200 O\u0001K\r\nContent-Length: 2\r\n\r\n`,
  'a CR in place of the LF of the status line': `HTTP/1.1 200 OK\r\rContent-Length: 2\r\n\r\n`,
  'two CRs behind the status line': `HTTP/1.1 200 OK\r\r\r\nContent-Length: 2\r\n\r\n`,
  'lines that end without a CR': 'HTTP/1.1 200 OK\nContent-Length: 2\n\n',
  'a line that ends without a CR': `${STATUS_LINE}X-Other: 1\nContent-Length: 2\r\n\r\n`,
  'a blank before a name of an informational head': `HTTP/1.1 103 Hints\r\nLink: x\r\n X: 1\r\n\r\n${SOUND_HEAD}`,
  'a LF before a name of an informational head': `HTTP/1.1 103 Hints\r\nLink: x\r\n\nX: 1\r\n\r\n${SOUND_HEAD}`,
};

const SOUND_HEADS: Readonly<Record<string, string>> = {
  'no fields': `${STATUS_LINE}\r\n`,
  'no reason': 'HTTP/1.1 200\r\nContent-Length: 2\r\n\r\n',
  'an empty reason': 'HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\n',
  'bytes beyond ASCII and a tab in a value': `${STATUS_LINE}X-Other: \u00e9\t\u0080\r\n\r\n`,
  'every character of a token': `${STATUS_LINE}!#$%&'*+-.^_\`|~09AZaz: 1\r\n\r\n`,
  'an empty value': `${STATUS_LINE}X-Other:\r\nContent-Length:2\r\n\r\n`,
  'line breaks before it': `\r\n\r\n${SOUND_HEAD}`,
  'informational heads before it': `HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\n${SOUND_HEAD}`,
};

interface Context {
  server: net.Server;
  /** Pieces of the response, each written after the one before it has left. */
  pieces: readonly Buffer[];
}

const test = suite<Context>('heads of responses');

test.before.each(async (context) => {
  context.pieces = [];
  context.server = net.createServer({ noDelay: true }, (socket) => {
    socket.on('error', () => {});
    socket.once('data', () => {
      const writeNext = ([piece, ...others]: readonly Buffer[]): void => {
        if (piece === undefined) socket.end();
        else socket.write(piece, () => setImmediate(writeNext, others));
      };
      writeNext(context.pieces);
    });
  });
  await new Promise<void>((resolve) => {
    context.server.listen(0, '127.0.0.1', resolve);
  });
});

test.after.each(({ server }) => {
  server.close();
});

/** Reads a response through a lenient parser; @returns its body, or why there is none. */
function read({ server }: Context): Promise<string> {
  const { port } = server.address() as AddressInfo;
  const request = http.get({ port, host: '127.0.0.1', agent: false, insecureHTTPParser: true });
  return new Promise((resolve) => {
    let body = '';
    // eslint-disable-next-line no-new -- the response is read from its construction on
    new ResponseReader(request, {
      onHead: () => {},
      onData: (data) => {
        body += data.toString('latin1');
      },
      onEnd: () => resolve(body),
      onFailure: ({ detail }) => resolve(`failed: ${detail}`),
      onFault: (error) => resolve(`fault: ${error.message}`),
    });
  });
}

function splitBytes(text: string): readonly Buffer[] {
  return [...Buffer.from(text, 'latin1')].map((byte) => Buffer.of(byte));
}

Object.entries(HEADS).forEach(([name, head]) => {
  test(`a head with ${name} is none of a response`, async (context) => {
    const bytes = Buffer.from(`${head}ok`, 'latin1');
    Object.assign(context, { pieces: [bytes] });
    assert.match(await read(context), /^failed: .*the response head/u);
    Object.assign(context, { pieces: splitBytes(`${head}ok`) });
    assert.match(await read(context), /^failed: .*the response head/u);
  });
});

Object.entries(SOUND_HEADS).forEach(([name, head]) => {
  test(`a head with ${name} is that of a response`, async (context) => {
    Object.assign(context, { pieces: [Buffer.from(`${head}ok`, 'latin1')] });
    assert.is(await read(context), SOUND);
    Object.assign(context, { pieces: splitBytes(`${head}ok`) });
    assert.is(await read(context), SOUND);
  });
});

test('a failure names the malformed line by its number', async (context) => {
  const head = `${STATUS_LINE}X-Other: 1\r\nConnection : secret\r\n\r\n`;
  Object.assign(context, { pieces: [Buffer.from(head, 'latin1')] });
  assert.is(await read(context), 'failed: line 3 of the response head is malformed');
});

test.run();
