/** Guards against a reset of streams that their upstreams gave whole (issue 64). */
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { Outcome } from '../../src/model/reason.js';
import { AnswerFraming } from '../../src/ports/caller.js';
import type { FakeCaller } from '../entry/fakeCaller.js';

import { NOT_RUN_HEAD, type FakeCall } from './fakeCall.js';
import { BASE_ROUTE, CONTENT, DirectFixture, withClock, type TestClock } from './directFixture.js';

const UNFRAMED = { framing: AnswerFraming.UntilClose };

const LAST_ID = 5;

/** Number of events after which a response is cut. */
const CUT_AFTER = 2;

/** Longest time from the last event to the end of a complete stream. */
const CONFIRMATION_LIMIT_MS = 500;

const STEP_MS = 10;

/** Pause between the events of another stream, in milliseconds. */
const PAUSE_MS = 50;

const PATIENCE_MS = BASE_ROUTE.patienceMs;

type Response = (call: FakeCall) => void;

/** Reads the id of the event after which a call asks for events. */
function readAfterId({ call }: FakeCall): number {
  return Number(call.resumeAfterId ?? call.request.resumeAfterId ?? 0);
}

/** Sends the events after the one that the call asks for. */
function sendRest(call: FakeCall, lastId = LAST_ID): FakeCall {
  const afterId = readAfterId(call);
  const ids = Array.from({ length: Math.max(0, lastId - afterId) }, (_, at) => afterId + at + 1);
  return ids.length === 0 ? call : call.sendEvents(...ids);
}

const giveUnframed: Response = (call) => sendRest(call.head(UNFRAMED)).end();
const giveDelimited: Response = (call) => sendRest(call.head()).end();
const giveEmpty: Response = (call) => call.head(UNFRAMED).end();
const denyRest: Response = (call) => call.head().end();
const cutUnframed: Response = (call) => sendRest(call.head(UNFRAMED), CUT_AFTER).end();
const breakOff: Response = (call) => sendRest(call.head(), CUT_AFTER).fail();
const loseEnd: Response = (call) => sendRest(call.head()).fail();
const reset: Response = (call) => call.fail();
const giveError: Response = (call) => call.head({ status: 500 }).end();
const giveNoContent: Response = (call) => call.head({ status: 204 }).end();
const decline: Response = (call) => call.head(NOT_RUN_HEAD);
const hang: Response = () => {};

function createEntry(upstreams: number): DirectFixture {
  const entry = new DirectFixture();
  entry.addUpstreams('models', upstreams);
  return entry;
}

interface PlayOptions {
  readonly limitMs?: number;
  /** Id of the event after which the caller resumes the stream. */
  readonly resumeAfterId?: string;
}

/** Plays the responses to one stream until it ends or a time is over; the last one is repeated. */
function play(
  entry: DirectFixture,
  clock: TestClock,
  responses: readonly Response[],
  { limitMs = CONFIRMATION_LIMIT_MS, resumeAfterId }: PlayOptions = {},
): FakeCaller {
  const caller = entry.sendRequest('stream', { resumeAfterId });
  const firstCall = entry.calls.length - 1;
  let answered = 0;
  for (let elapsedMs = 0; caller.ends.length === 0 && elapsedMs < limitMs; elapsedMs += STEP_MS) {
    const call = entry.calls[firstCall + answered];
    if (call) {
      responses[Math.min(answered, responses.length - 1)]?.(call);
      answered += 1;
    } else clock.tick(STEP_MS);
  }
  return caller;
}

function writeEvents(lastId: number, firstId = 1): string {
  const ids = Array.from({ length: lastId + 1 - firstId }, (_, at) => firstId + at);
  return ids.map((id) => `id: ${id}\ndata: note\n\n`).join('');
}

/** Counts the upstreams at which a request may have run. */
function countRunUpstreams({ calls }: DirectFixture, declined: number): number {
  return new Set(calls.map(({ call }) => call.upstream.id)).size - declined;
}

const WHOLE_STREAMS: Readonly<Record<string, readonly Response[]>> = {
  'whose rests are unframed as well': [giveUnframed],
  'that breaks off, and whose rest is unframed': [breakOff, giveUnframed],
  'whose confirming connection is reset': [giveUnframed, reset, giveUnframed],
  'whose confirming connection is reset twice': [giveUnframed, reset, reset, giveUnframed],
  'that is confirmed after an error': [giveUnframed, giveError, giveUnframed],
  'that is confirmed after another status': [giveUnframed, giveNoContent, giveUnframed],
  'that is confirmed after a refusal': [giveUnframed, decline, giveUnframed],
  'that is reset after its last event': [loseEnd, giveDelimited],
  'that is reset after its last event, with an unframed rest': [loseEnd, giveUnframed],
};

Object.entries(WHOLE_STREAMS).forEach(([name, responses]) => {
  [1, 2, 3, 8].forEach((upstreams) => {
    test(`a whole stream ${name} is complete, with ${upstreams} upstreams`, () =>
      withClock((clock) => {
        const entry = createEntry(upstreams);
        const caller = play(entry, clock, responses);
        assert.equal(caller.ends, ['end']);
        assert.is(caller.text, writeEvents(LAST_ID));
        const declined = upstreams > 2 && responses.includes(decline) ? 1 : 0;
        assert.ok(countRunUpstreams(entry, declined) <= BASE_ROUTE.attempts);
      }));
  });
});

/** Gives one event that the call asks for, and ends the connection. */
const giveOne: Response = (call) => {
  const afterId = readAfterId(call);
  call
    .head(UNFRAMED)
    .sendEvents(afterId + 1)
    .end();
};

/** Shows part of the event after the ones that the call has to repeat. */
const cutWithin: Response = (call) =>
  sendRest(call.head(UNFRAMED), CUT_AFTER)
    .send(`id: ${CUT_AFTER + 1}\nda`)
    .end();

const CUT_STREAMS: Readonly<Record<string, readonly Response[]>> = {
  'whose rests are empty and unframed': [cutUnframed, giveEmpty],
  'that is reset, and whose rests are empty and unframed': [breakOff, giveEmpty],
  'that is reset, and whose rests are denied by one upstream': [breakOff, denyRest],
  'with a response that begins the next event': [cutUnframed, cutWithin, giveEmpty],
};

Object.entries(CUT_STREAMS).forEach(([name, responses]) => {
  test(`a cut stream ${name} is not complete`, () =>
    withClock((clock) => {
      const caller = play(createEntry(2), clock, responses);
      assert.equal(caller.ends, ['abort']);
      assert.is(caller.text, writeEvents(CUT_AFTER));
    }));
});

test('a stream is not complete by responses that end after one event each', () =>
  withClock((clock) => {
    const caller = play(createEntry(3), clock, [giveOne], { limitMs: PATIENCE_MS });
    assert.equal(caller.ends, ['abort']);
  }));

test('a stream is confirmed twice where another one was cut lately', () =>
  withClock((clock) => {
    const entry = createEntry(3);
    play(entry, clock, [cutUnframed, giveDelimited]);
    const before = entry.calls.length;
    const caller = play(entry, clock, [cutUnframed, giveEmpty, cutUnframed, giveUnframed]);
    assert.is(caller.text, writeEvents(LAST_ID));
    assert.equal(caller.ends, ['end']);
    assert.equal(
      entry.calls.slice(before).map(({ call }) => call.resumeAfterId),
      [undefined, '2', '1', '1', '4', '3'],
    );
  }));

test('a comment is sent once, however often the end of a stream is confirmed', () =>
  withClock((clock) => {
    const comment = ': done\n\n';
    const give: Response = (call) => sendRest(call.head(UNFRAMED)).send(comment).end();
    const caller = play(createEntry(3), clock, [give, giveEmpty, give]);
    assert.equal([caller.ends, caller.text], [['end'], writeEvents(LAST_ID) + comment]);
  }));

const RESUMED_STREAMS: Readonly<Record<string, readonly Response[]>> = {
  'after an empty unframed rest': [cutUnframed, giveEmpty, giveUnframed],
  'after a reset': [cutUnframed, reset, giveUnframed],
  'after an error': [cutUnframed, giveError, giveDelimited],
  'at once': [cutUnframed, giveUnframed],
};

Object.entries(RESUMED_STREAMS).forEach(([name, responses]) => {
  test(`a cut unframed stream goes on ${name}, each event once`, () =>
    withClock((clock) => {
      const caller = play(createEntry(3), clock, responses);
      assert.equal(caller.ends, ['end']);
      assert.is(caller.text, writeEvents(LAST_ID));
    }));
});

test('a stream is confirmed by another upstream if the first one asked hangs', () =>
  withClock((clock) => {
    const entry = createEntry(3);
    entry.sendRequest('stream');
    const other = entry.lastCall.head();
    let sent = 0;
    const timer = setInterval(() => {
      sent += 1;
      other.sendEvents(sent);
    }, PAUSE_MS);
    const caller = play(entry, clock, [giveUnframed, hang, giveUnframed], {
      limitMs: PATIENCE_MS,
    });
    clearInterval(timer);
    assert.equal(caller.ends, ['end']);
  }));

test('the only upstream is asked again if it hangs', () =>
  withClock((clock) => {
    const responses = [giveUnframed, hang, giveUnframed];
    const caller = play(createEntry(1), clock, responses, { limitMs: PATIENCE_MS });
    assert.equal(caller.ends, ['end']);
  }));

test('a stream that waits for its confirmation takes no probe of a stalled pool', () =>
  withClock((clock) => {
    const routes = [{ ...BASE_ROUTE, attempts: 3 }];
    const entry = new DirectFixture(1, undefined, 'entry-1', { ...CONTENT, routes });
    entry.addUpstreams('models', 2);
    const caller = play(entry, clock, [giveUnframed, reset, reset, reset, giveUnframed]);
    assert.equal(caller.ends, ['end']);
  }));

test('an error in place of a confirmation is not passed on', () =>
  withClock((clock) => {
    const responses = [giveEmpty, giveError, giveUnframed];
    const caller = play(createEntry(2), clock, responses, { resumeAfterId: String(LAST_ID) });
    assert.equal([caller.ends, caller.status], [['end'], 200]);
  }));

test('a stream that waits for its confirmation goes before queued requests', () =>
  withClock((clock) => {
    const entry = createEntry(1);
    const [first] = [entry.sendRequest('stream')];
    giveUnframed(entry.lastCall);
    decline(entry.lastCall);
    const sent = entry.calls.length;
    Array.from({ length: 40 }, () => entry.sendRequest('stream'));
    clock.tick(CONFIRMATION_LIMIT_MS);
    entry.calls.slice(sent).forEach(giveDelimited);
    assert.equal(first?.ends, ['end']);
    assert.is(entry.calls[sent]?.call.request.id, 'request-1');
  }));

test('upstreams are not charged for rests that confirm nothing', () =>
  withClock((clock) => {
    const entry = createEntry(3);
    const responses = [giveUnframed, giveEmpty, giveUnframed];
    const callers = Array.from({ length: 8 }, () => play(entry, clock, responses));
    assert.ok(callers.every(({ ends }) => ends.join() === 'end'));
    assert.is(entry.log.find('Upstream ejected.'), undefined);
    assert.is(entry.log.find('Circuit breaker of the pool opened.'), undefined);
  }));

test('later streams of a pool with unframed rests take one confirmation each', () =>
  withClock((clock) => {
    const entry = createEntry(3);
    const countSends = () => {
      const before = entry.calls.length;
      play(entry, clock, [giveUnframed]);
      return entry.calls.length - before;
    };
    assert.equal([countSends(), countSends(), countSends()], [3, 2, 2]);
    play(entry, clock, [cutUnframed, giveDelimited]);
    play(entry, clock, [giveUnframed, denyRest]);
    assert.is(entry.lastCall.call.resumeAfterId, String(LAST_ID));
  }));

[LAST_ID, LAST_ID - 1, CUT_AFTER].forEach((resumeAfterId) => {
  Object.entries({
    'unframed responses': [giveUnframed],
    'an empty one': [giveEmpty, giveUnframed],
    'a reset': [reset, giveUnframed],
    'an error': [giveError, giveUnframed],
  }).forEach(([name, responses]) => {
    // An error of the only upstream is passed on.
    [1, 2, 3].slice(responses.includes(giveError) ? 1 : 0).forEach((upstreams) => {
      test(`a caller that resumes after ${resumeAfterId} gets the rest by ${name} of ${upstreams}`, () =>
        withClock((clock) => {
          const entry = createEntry(upstreams);
          const caller = play(entry, clock, responses, { resumeAfterId: String(resumeAfterId) });
          assert.equal(caller.ends, ['end']);
          assert.is(caller.text, writeEvents(LAST_ID, resumeAfterId + 1));
          assert.is(entry.log.find('Upstream ejected.'), undefined);
        }));
    });
  });
});

test('callers that resume after the last event do not stop a pool without proof', () =>
  withClock((clock) => {
    const entry = createEntry(3);
    const callers = Array.from({ length: 3 }, () =>
      play(entry, clock, [giveEmpty], { resumeAfterId: 'last' }),
    );
    callers.forEach(({ ends, refusal }) => {
      assert.equal(ends, ['refuse']);
      assert.is(refusal?.outcome, Outcome.Unknown);
    });
    assert.is(entry.log.find('Upstream ejected.'), undefined);
    assert.is(entry.log.find('Circuit breaker of the pool opened.'), undefined);
  }));

test('a caller that resumes a stream gets no event that it has', () =>
  withClock((clock) => {
    const entry = createEntry(2);
    const restart: Response = (call) => call.head(UNFRAMED).sendEvents(1, 2, 3, 4, 5).end();
    const caller = play(entry, clock, [giveEmpty, restart], { resumeAfterId: '3' });
    assert.is(caller.text, '');
  }));

test('the end of a stream is confirmed while all slots are taken', () =>
  withClock((clock) => {
    const entry = createEntry(2);
    const streams = Array.from({ length: 40 }, () => entry.sendRequest('stream'));
    const [first] = entry.calls;
    const sent = entry.calls.length;
    assert.ok(first && sent < streams.length);
    giveUnframed(first);
    const confirming = entry.calls.slice(sent).filter(({ call }) => call.resumeAfterId);
    clock.tick(CONFIRMATION_LIMIT_MS);
    assert.is(confirming.length, 1);
    confirming.forEach(giveDelimited);
    assert.equal(streams[0]?.ends, ['end']);
  }));

test.run();
