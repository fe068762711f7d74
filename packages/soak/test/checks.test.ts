/** Each promise: a history that breaks it is found, one that keeps it is not. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { AtMostOnce } from '../src/checks/atMostOnce.js';
import { ColdStartLimit } from '../src/checks/coldStartLimit.js';
import { CompletionDeadline } from '../src/checks/completionDeadline.js';
import { ConfigFreshness } from '../src/checks/configFreshness.js';
import { DrainEnforcement } from '../src/checks/drainEnforcement.js';
import { GracefulShutdown } from '../src/checks/gracefulShutdown.js';
import { RequestIntegrity } from '../src/checks/requestIntegrity.js';
import { ResponseIntegrity } from '../src/checks/responseIntegrity.js';
import { RetryLimits } from '../src/checks/retryLimits.js';
import { ServiceRecovery } from '../src/checks/serviceRecovery.js';
import { ChangeKind, RequestKind } from '../src/record/observation.js';

import { History } from './history.js';

function writeEvents(id: string, numbers: readonly number[]): string {
  return numbers.map((each) => `id: ${each}\ndata: ${id} ${each}\n\n`).join('');
}

test('an answer to another request is found', () => {
  const history = new History((context) => new ResponseIntegrity(context, 3));
  const request = history.send();
  history.answer(request);
  assert.is(history.violations.length, 0);
  history.answer(request, { body: 'POST by up-1 for r-2' });
  assert.is(history.violations.length, 1);
});

test('a stream that misses an event, or repeats one, or looks whole too soon is found', () => {
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

test('a second run of what may run once is found, of what may be repeated not', () => {
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

test('a request that is called not run has not run and never does', () => {
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

test('a run that nobody asked for, or that differs from what was asked for, is found', () => {
  const history = new History((context) => new RequestIntegrity(context));
  const request = history.send();
  history.run(request);
  assert.is(history.violations.length, 0);
  history.run(request, { workspace: 'school' });
  history.run(request, { body: '{' });
  history.run(request, { id: 'r-9' });
  assert.is(history.violations.length, 3);
});

test('a request to a closed domain after the bound is found, from an entry in touch', () => {
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

test('a request to a leaving upstream after the bound is found', () => {
  const history = new History((context) => new DrainEnforcement(context));
  history.change(ChangeKind.UpstreamLeaving, 'up-1', 10_000);
  history.run(history.send({ id: 'r-1', sentAtMs: 11_900 }));
  assert.is(history.violations.length, 0);
  history.run(history.send({ id: 'r-2', sentAtMs: 12_100 }));
  assert.is(history.violations.length, 1);
});

test('a configuration that is late, or goes back, is found', () => {
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

test('too many requests in a second to a cold upstream are found', () => {
  const history = new History((context) => new ColdStartLimit(context));
  history.change(ChangeKind.UpstreamCold, 'up-1', 10_000);
  const send = (at: number) =>
    history.run(history.send({ id: `r-${at}`, sentAtMs: 10_000 + at * 100 }));
  Array.from({ length: 8 }, (_, at) => send(at));
  assert.is(history.violations.length, 0);
  send(8);
  assert.is(history.violations.length, 1);
});

test('repeats beyond the attempts of a route, or beyond the budget of all, are found', () => {
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

test('an answer after the time of its route is found, from an entry in touch', () => {
  const history = new History((context) => new CompletionDeadline(context));
  history.answer(history.send({ id: 'r-1' }), { endedAtMs: 12_400 });
  history.faultTimeline.beginFault('entry-2', 9_000)(10_500);
  history.answer(history.send({ id: 'r-2', entry: 'entry-2' }), { endedAtMs: 12_600 });
  assert.is(history.violations.length, 0);
  history.answer(history.send({ id: 'r-3' }), { endedAtMs: 12_600 });
  assert.is(history.violations.length, 1);
});

test('a planned stop that cuts a request is found; an upstream that cuts it is not blamed on it', () => {
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

test('service that does not come back is found', () => {
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
