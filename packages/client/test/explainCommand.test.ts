import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';

import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { runCommandLine } from '../src/commandLine.js';
import { ExitCode } from '../src/exitCode.js';

async function explain(id: string, logs: readonly string[]) {
  const folder = await mkdtemp(path.join(tmpdir(), 'radishbay-'));
  const files = logs.map((_, at) => path.join(folder, `log-${at}`));
  await Promise.all(logs.map((text, at) => writeFile(files[at] ?? '', text)));
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
  const exitCode = await runCommandLine(['explain', id, ...files], {}, output);
  await rm(folder, { recursive: true });
  return { exitCode, text, errors };
}

function formatLine(fields: Record<string, unknown>): string {
  return JSON.stringify({ id: 'r1', process: 'a', part: 'request', level: 'info', ...fields });
}

test('the lines of one request from all processes are printed in order', async () => {
  const first = [
    formatLine({ message: 'Request answered.', steadyMs: 30, timestamp: '10:00:01', status: 200 }),
    formatLine({ message: 'Request sent.', steadyMs: 20, timestamp: '10:00:02', upstream: 'm-1' }),
    formatLine({ message: 'Request sent.', steadyMs: 21, timestamp: '10:00:02', id: 'r2' }),
    'no JSON with r1',
    '{"id":"r1", cut',
  ].join('\n');
  const second = `12.1 b-1 ${formatLine({ message: 'Request refused.', steadyMs: 5, timestamp: '09:59:59', process: 'b' })}`;
  const { exitCode, text } = await explain('r1', [first, second]);
  assert.is(exitCode, ExitCode.Done);
  const sentences = text.split('\n').map((each) => /request: ([\w ]+)\./u.exec(each)?.[1]);
  assert.equal(sentences, ['Request refused', 'Request sent', 'Request answered', undefined]);
  assert.match(text, /upstream="m-1"/u);
});

test('explaining a request without log lines fails and names its id', async () => {
  const { exitCode, errors } = await explain('r9', [formatLine({ message: 'Request sent.' })]);
  assert.is(exitCode, ExitCode.Refused);
  assert.match(errors, /"r9"/u);
});

test.run();
