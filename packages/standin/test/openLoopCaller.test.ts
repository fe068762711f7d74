import { createServer, type RequestListener, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';

import { Random } from '@radishbay/core/ports/random.js';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { CallKind, DEFAULT_SHAPE } from '../src/caller/callPlan.js';
import { CallVerdict } from '../src/caller/callResult.js';
import type { CallerReport } from '../src/caller/callerReport.js';
import { OpenLoopCaller, drawIntervalMs } from '../src/caller/openLoopCaller.js';
import { EngineServer } from '../src/engine/engineServer.js';
import { PlainServer } from '../src/plain/plainServer.js';

/** Time for which the process is blocked, many times that in which calls are due. */
const BLOCK_MS = 400;

function runCaller(baseUrl: string, kind: CallKind): Promise<CallerReport> {
  return new OpenLoopCaller({
    baseUrls: [baseUrl],
    headers: {},
    seed: 3,
    ratePerSecond: 200,
    durationMs: 50,
    timeoutMs: 20_000,
    shapes: [{ ...DEFAULT_SHAPE, kind, maxTokens: 4 }],
  }).run();
}

async function runAgainst(listener: RequestListener, kind: CallKind): Promise<CallerReport> {
  const server: Server = createServer(listener);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const report = await runCaller(`http://127.0.0.1:${port}`, kind);
  server.close();
  server.closeAllConnections();
  return report;
}

/** The one verdict of all calls of a run. */
function readVerdict(report: CallerReport): string {
  const verdicts = Object.keys(report.summarise().verdicts);
  return verdicts.join(' and ');
}

[CallKind.Stream, CallKind.Chat, CallKind.Whole].forEach((kind) => {
  test(`answers of the model engine to ${kind} calls are their own`, async () => {
    const engine = new EngineServer({ isWarmAtStart: true, stepMs: 1 });
    const port = await engine.start(0);
    const report = await runCaller(`http://127.0.0.1:${port}`, kind);
    await engine.stop();
    assert.is(readVerdict(report), CallVerdict.Correct);
  });
});

test('answers of the plain service are their own', async () => {
  const service = new PlainServer();
  const port = await service.start(0);
  const report = await runCaller(`http://127.0.0.1:${port}`, CallKind.Swap);
  await service.stop();
  assert.is(readVerdict(report), CallVerdict.Correct);
});

test('the answer to another request is found out', async () => {
  const answer = JSON.stringify({ isConfirmed: true, requestId: 'another' });
  const report = await runAgainst((_, response) => response.end(answer), CallKind.Swap);
  assert.is(readVerdict(report), CallVerdict.WrongContent);
});

test('a stream that ends without its last events is found out', async () => {
  const report = await runAgainst(
    (_, response) => response.end('data: {}\n\ndata: [DONE]\n\n'),
    CallKind.Stream,
  );
  assert.is(readVerdict(report), CallVerdict.WrongContent);
});

test('an answer that breaks off is told apart from a refusal', async () => {
  const report = await runAgainst((_, response) => {
    response.writeHead(200, { 'content-length': 100 });
    response.write('data', () => response.destroy());
  }, CallKind.Stream);
  assert.is(readVerdict(report), CallVerdict.Broken);
});

test('refusals are counted by reason and outcome', async () => {
  const problem = JSON.stringify({ reason: 'queue-full', outcome: 'not-run' });
  const report = await runAgainst((_, response) => {
    response.writeHead(503).end(problem);
  }, CallKind.Sets);
  const { refusals, made } = report.summarise();
  assert.equal(refusals, { 'queue-full/not-run': made });
});

test('intervals from a seed have the mean of the rate', () => {
  const random = new Random(5);
  const intervalsMs = Array.from({ length: 20_000 }, () => drawIntervalMs(random, 100));
  const meanMs = intervalsMs.reduce((sum, intervalMs) => sum + intervalMs, 0) / 20_000;
  assert.ok(Math.abs(meanMs - 10) < 0.3, `mean ${meanMs}`);
});

test('latency counts from the time at which a call was due', async () => {
  let isFirst = true;
  const report = await runAgainst((_, response) => {
    if (isFirst) {
      const blockedUntilMs = Date.now() + BLOCK_MS;
      while (Date.now() < blockedUntilMs);
    }
    isFirst = false;
    response.end(JSON.stringify({ sets: [] }));
  }, CallKind.Sets);
  const { whole } = report.summarise();
  assert.ok(whole.p50Ms > BLOCK_MS / 2, `p50 ${whole.p50Ms} ms`);
});

test.run();
