/** Each check reports a history that violates its invariant, and none that satisfies it. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { AtMostOnce } from '../src/checks/atMostOnce.js';
import { ColdStartLimit } from '../src/checks/coldStartLimit.js';
import { CompletionDeadline } from '../src/checks/completionDeadline.js';
import { ConfigFreshness } from '../src/checks/configFreshness.js';
import { DrainEnforcement } from '../src/checks/drainEnforcement.js';
import { GracefulShutdown } from '../src/checks/gracefulShutdown.js';
import { RequestIntegrity } from '../src/checks/requestIntegrity.js';
import { RequestLimit } from '../src/checks/requestLimit.js';
import { ResponseIntegrity } from '../src/checks/responseIntegrity.js';
import { RetryLimits } from '../src/checks/retryLimits.js';
import { ServiceRecovery } from '../src/checks/serviceRecovery.js';
import { ChangeKind, RequestKind } from '../src/record/observation.js';

import { History } from './history.js';

function writeEvents(id: string, numbers: readonly number[]): string {
  return numbers.map((each) => `id: ${each}\ndata: ${id} ${each}\n\n`).join('');
}

test('a response to another request is reported', () => {
  const history = new History((context) => new ResponseIntegrity(context, 3));
  const request = history.send();
  history.answer(request);
  assert.is(history.violations.length, 0);
  history.answer(request, { body: 'POST by up-1 for r-2' });
  assert.is(history.violations.length, 1);
});

test('a stream that misses or repeats an event, or ends complete too early, is reported', () => {
  const history = new History((context) => new ResponseIntegrity(context, 3));
  const request = history.send({ kind: RequestKind.ResumableStream });
  history.answer(request, { body: writeEvents('r-1', [1, 2, 3]) });
  history.answer(request, { body: writeEvents('r-1', [1, 2]), isWhole: false });
  assert.is(history.violations.length, 0);
  history.answer(request, { body: writeEvents('r-1', [1, 3]), isWhole: false });
  history.answer(request, { body: writeEvents('r-1', [1, 1, 2]), isWhole: false });
  history.answer(request, { body: writeEvents('r-1', [1, 2]) });
  assert.is(history.violations.length, 3);
});

test('a second run is reported for a non-repeatable request only', () => {
  const history = new History((context) => new AtMostOnce(context));
  const repeatable = history.send({ id: 'r-2', kind: RequestKind.Repeatable });
  history.run(repeatable);
  history.run(repeatable, { upstream: 'up-2' });
  assert.is(history.violations.length, 0);
  const once = history.send();
  history.run(once);
  history.run(once, { upstream: 'up-2' });
  assert.is(history.violations.length, 1);
});

test('a request that runs before or after a "not run" response is reported', () => {
  const history = new History((context) => new AtMostOnce(context));
  const early = history.send({ id: 'r-1' });
  history.answer(early, { status: 502 });
  history.run(early);
  assert.is(history.violations.length, 0);
  const ran = history.send({ id: 'r-2' });
  history.run(ran);
  history.answer(ran, { status: 503 });
  const late = history.send({ id: 'r-3' });
  history.answer(late, { status: 429 });
  history.run(late);
  assert.is(history.violations.length, 2);
});

test('a run of a request that was not sent, or was sent with other contents, is reported', () => {
  const history = new History((context) => new RequestIntegrity(context));
  const request = history.send();
  history.run(request);
  assert.is(history.violations.length, 0);
  history.run(request, { workspace: 'school' });
  history.run(request, { body: '{' });
  history.run(request, { id: 'r-9' });
  assert.is(history.violations.length, 3);
});

test('a request to a closed domain after the limit is reported, from a stable entry only', () => {
  const history = new History((context) => new DrainEnforcement(context));
  history.change(ChangeKind.DomainClosed, 'zone-a', 10_000);
  history.run(history.send({ id: 'r-1', sentAtMs: 14_900 }));
  const endFault = history.faultTimeline.beginFault('entry-2', 12_000);
  history.run(history.send({ id: 'r-2', entry: 'entry-2', sentAtMs: 15_100 }));
  endFault(13_000);
  history.run(history.send({ id: 'r-3', entry: 'entry-2', sentAtMs: 15_200 }));
  assert.is(history.violations.length, 0);
  history.run(history.send({ id: 'r-4', sentAtMs: 15_100 }));
  assert.is(history.violations.length, 1);
  history.change(ChangeKind.DomainOpened, 'zone-a', 16_000);
  history.run(history.send({ id: 'r-5', sentAtMs: 17_000 }));
  assert.is(history.violations.length, 1);
});

test('a request to a leaving upstream after the limit is reported', () => {
  const history = new History((context) => new DrainEnforcement(context));
  history.change(ChangeKind.UpstreamLeaving, 'up-1', 10_000);
  history.run(history.send({ id: 'r-1', sentAtMs: 11_900 }));
  assert.is(history.violations.length, 0);
  history.run(history.send({ id: 'r-2', sentAtMs: 12_100 }));
  assert.is(history.violations.length, 1);
});

test('a configuration that is applied late, or reverted, is reported', () => {
  const history = new History((context) => new ConfigFreshness(context));
  history.change(ChangeKind.ConfigGeneration, '1', 1_000);
  history.change(ChangeKind.ConfigGeneration, '2', 10_000);
  history.answer(history.send({ id: 'r-1', generation: 1, sentAtMs: 12_900 }));
  history.answer(history.send({ id: 'r-2', generation: 1, sentAtMs: 13_100 }), { status: 404 });
  history.answer(history.send({ id: 'r-3', generation: 2, sentAtMs: 13_100 }));
  assert.is(history.violations.length, 0);
  history.answer(history.send({ id: 'r-4', generation: 2, sentAtMs: 13_200 }), { status: 401 });
  assert.is(history.violations.length, 1);
  history.answer(history.send({ id: 'r-5', sentAtMs: 13_300 }), { status: 404 });
  assert.is(history.violations.length, 2);
  history.answer(history.send({ id: 'r-6', generation: 1, sentAtMs: 13_400 }));
  assert.ok(history.violations.some((detail) => detail.includes('goes back')));
});

test('too many requests in one second to a cold upstream are reported', () => {
  const history = new History((context) => new ColdStartLimit(context));
  history.change(ChangeKind.UpstreamCold, 'up-1', 10_000);
  const send = (at: number) =>
    history.run(history.send({ id: `r-${at}`, sentAtMs: 10_000 + at * 100 }));
  Array.from({ length: 8 }, (_, at) => send(at));
  assert.is(history.violations.length, 0);
  send(8);
  assert.is(history.violations.length, 1);
});

test('more requests than an upstream takes are reported once the limit has to be kept', () => {
  const history = new History((context) => new RequestLimit(context));
  history.change(ChangeKind.UpstreamLimited, 'up-1', 10_000, 1);
  const send = (at: number, sentAtMs: number) =>
    history.run(history.send({ id: `r-${at}`, sentAtMs }));
  Array.from({ length: 30 }, (_, at) => send(at, 10_000 + at * 50));
  Array.from({ length: 11 }, (_, at) => send(100 + at, 14_000 + at * 300));
  assert.is(history.violations.length, 0);
  send(200, 17_500);
  assert.match(history.violations[0] ?? '', /got 12 in 4 s/u);
  history.change(ChangeKind.UpstreamUnlimited, 'up-1', 18_000);
  Array.from({ length: 30 }, (_, at) => send(300 + at, 18_100 + at * 50));
  assert.is(history.violations.length, 1);
});

test('retries beyond the attempts of a route, or beyond the shared budget, are reported', () => {
  const history = new History((context) => new RetryLimits(context));
  const kind = RequestKind.Repeatable;
  const requests = Array.from({ length: 10 }, (_, at) =>
    history.send({ id: `r-${at}`, kind, attempts: 2, sentAtMs: 10_000 + at }),
  );
  requests.forEach((request) => history.run(request));
  requests.slice(0, 5).forEach((request) => history.run(request));
  assert.is(history.violations.length, 0);
  requests.slice(5, 6).forEach((request) => history.run(request));
  assert.match(history.violations[0] ?? '', /6 retries for 10 requests/u);
  requests.slice(0, 1).forEach((request) => history.run(request));
  assert.match(history.violations[1] ?? '', /ran 3 times/u);
});

test('work that goes on after its caller has gone is reported, unless its link was held', () => {
  const history = new History((context) => new CompletionDeadline(context));
  const abandon = (id: string, upstream: string) => {
    const request = history.send({ id, kind: RequestKind.ResumableStream });
    history.run(request, { upstream });
    history.disconnect(request, 10_400);
    history.endRun(request, 11_500);
  };
  history.faultTimeline.beginFault('up-held', 9_800)(11_400);
  history.faultTimeline.beginFault('up-before', 8_000)(9_000);
  history.faultTimeline.beginFault('up-long-before', 2_000)(3_000);
  abandon('r-1', 'up-held');
  abandon('r-2', 'up-before');
  assert.is(history.violations.length, 0);
  abandon('r-3', 'up-long-before');
  assert.is(history.violations.length, 1);
  abandon('r-4', 'up-1');
  assert.is(history.violations.length, 2);
});

test('a response after its route timeout is reported, from a stable entry only', () => {
  const history = new History((context) => new CompletionDeadline(context));
  history.answer(history.send({ id: 'r-1' }), { endedAtMs: 12_400 });
  history.faultTimeline.beginFault('entry-2', 9_000)(10_500);
  history.answer(history.send({ id: 'r-2', entry: 'entry-2' }), { endedAtMs: 12_600 });
  assert.is(history.violations.length, 0);
  history.answer(history.send({ id: 'r-3' }), { endedAtMs: 12_600 });
  assert.is(history.violations.length, 1);
});

test('a graceful shutdown that cuts a request is reported, an upstream fault that does is not', () => {
  const history = new History((context) => new GracefulShutdown(context));
  history.change(ChangeKind.StopRequested, 'entry-1', 10_000);
  const cut = { status: 200, isWhole: false, endedAtMs: 10_600 };
  const blamed = history.send({ id: 'r-1', sentAtMs: 9_900 });
  history.run(blamed, { upstream: 'up-2' });
  history.faultTimeline.beginFault('up-2', 10_500);
  history.answer(blamed, cut);
  history.answer(history.send({ id: 'r-2', sentAtMs: 10_550 }), { ...cut, status: 0 });
  assert.is(history.violations.length, 0);
  const lost = history.send({ id: 'r-3', sentAtMs: 9_900 });
  history.run(lost);
  history.answer(lost, cut);
  assert.is(history.violations.length, 1);
});

test('service that does not recover is reported', () => {
  const recoveries: ServiceRecovery[] = [];
  const history = new History((context) => {
    const check = new ServiceRecovery(context);
    recoveries.push(check);
    return check;
  });
  recoveries.forEach((check) => check.markFaultsEnded(10_000));
  Array.from({ length: 24 }, (_, at) => {
    const request = history.send({ id: `r-${at}`, sentAtMs: 26_000 });
    return history.answer(request, at < 5 ? {} : { status: 503 });
  });
  history.finish();
  assert.equal(history.violations, ['5 of 24 requests succeeded after the recovery time']);
});

test.run();
