import { install, type Clock } from '@sinonjs/fake-timers';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { Log, LogLevel, type LogFields } from '@radishbay/core/ports/log.js';

import { BoundedLog } from '../src/observe/boundedLog.js';

/** Maximum number of lines that an entry writes per second. */
const LINES_PER_S = 300;

/** Request rate of an entry on the users' busiest day; overload is tested at four times that. */
const REQUESTS_PER_S = 60;
const LOAD_FACTOR = 4;

const SPAN_S = 10;

interface Line {
  readonly level: LogLevel;
  readonly sentence: string;
  readonly fields: LogFields;
  readonly second: number;
}

class RecordingLog extends Log {
  readonly lines: Line[] = [];

  override write(level: LogLevel, _part: string, sentence: string, fields: LogFields = {}): void {
    this.lines.push({ level, sentence, fields, second: Math.floor(performance.now() / 1_000) });
  }
}

interface Context {
  clock: Clock;
  kept: RecordingLog;
  log: Log;
}

const test = suite<Context>('BoundedLog');

test.before.each((context) => {
  context.clock = install({ now: 0 });
  context.kept = new RecordingLog();
  context.log = new BoundedLog(context.kept);
});

test.after.each(({ clock }) => {
  clock.uninstall();
});

/** Writes three lines per request, of which one in ten is refused, and one in fifty warns. */
function writeLoad({ log, clock }: Context, perS: number): void {
  Array.from({ length: perS * SPAN_S }, (_, at) => `request-${at}`).forEach((id, at) => {
    log.write(LogLevel.Routine, 'admission', 'Request waits for capacity.', { id });
    log.write(LogLevel.Routine, 'request', 'Request sent.', { id });
    if (at % 10 === 0) log.write(LogLevel.Info, 'request', 'Request not answered.', { id });
    else log.write(LogLevel.Routine, 'request', 'Request answered.', { id });
    if (at % 50 === 0) log.write(LogLevel.Warn, 'membership', 'Upstream ejected.', { id });
    clock.tick(1_000 / perS);
  });
}

test('below the budget, every line is written', (context) => {
  writeLoad(context, 40);
  assert.is(context.kept.lines.length, 40 * SPAN_S * 3 + (40 * SPAN_S) / 50);
});

test('at four times the load, no second exceeds its line budget', (context) => {
  writeLoad(context, REQUESTS_PER_S * LOAD_FACTOR);
  const seconds = Array.from({ length: SPAN_S }, (_, second) =>
    context.kept.lines.filter((line) => line.second === second),
  );
  seconds.forEach((lines) => assert.ok(lines.length <= LINES_PER_S, `${lines.length} lines`));
});

test('at four times the load, no failure and no warning is dropped', (context) => {
  const { kept } = context;
  writeLoad(context, REQUESTS_PER_S * LOAD_FACTOR);
  const requests = REQUESTS_PER_S * LOAD_FACTOR * SPAN_S;
  const failures = kept.lines.filter(({ sentence }) => sentence === 'Request not answered.');
  const warnings = kept.lines.filter(({ sentence }) => sentence === 'Upstream ejected.');
  assert.is(failures.length, requests / 10);
  assert.is(warnings.length, requests / 50);
});

test('dropped lines are counted, and sampled requests keep all their lines', (context) => {
  const { kept, log, clock } = context;
  writeLoad(context, REQUESTS_PER_S * LOAD_FACTOR);
  clock.tick(1_000);
  log.write(LogLevel.Info, 'daemon', 'The last line.');
  const droppedNotices = kept.lines.filter(
    ({ sentence }) => sentence === 'Log lines were dropped.',
  );
  const droppedCount = droppedNotices.reduce(
    (sum, { fields }) => sum + Number(fields.routineLines),
    0,
  );
  const requests = REQUESTS_PER_S * LOAD_FACTOR * SPAN_S;
  const routine = kept.lines.filter(({ level }) => level === LogLevel.Routine);
  assert.is(droppedCount + routine.length, requests * 3 - requests / 10);

  // The first second is not sampled, because the load is not known yet.
  const settled = routine.filter(({ second }) => second > 0);
  const answered = settled.filter(({ sentence }) => sentence === 'Request answered.');
  const sent = new Set(
    routine.filter(({ sentence }) => sentence === 'Request sent.').map(({ fields }) => fields.id),
  );
  assert.ok(answered.length > 20 * (SPAN_S - 1), `${answered.length} histories are kept`);
  assert.ok(answered.every(({ fields }) => sent.has(fields.id)));
});

test('failure lines do not use up the budget of routine lines', ({ clock, kept, log }) => {
  const perS = REQUESTS_PER_S;
  Array.from({ length: perS * SPAN_S }, (_, at) => `request-${at}`).forEach((id) => {
    log.write(LogLevel.Routine, 'request', 'Request sent.', { id });
    log.write(LogLevel.Info, 'request', 'Attempt failed.', { id });
    log.write(LogLevel.Info, 'request', 'Request not retried.', { id });
    log.write(LogLevel.Routine, 'request', 'Request answered.', { id });
    clock.tick(1_000 / perS);
  });
  const routine = kept.lines.filter(({ level }) => level === LogLevel.Routine);
  assert.is(routine.length, perS * SPAN_S * 2);
});

test('debug lines are dropped first, error lines last', ({ log, kept }) => {
  Array.from({ length: LINES_PER_S }, () => log.write(LogLevel.Debug, 'part', 'Detail.'));
  Array.from({ length: LINES_PER_S }, () => log.write(LogLevel.Info, 'part', 'State change.'));
  Array.from({ length: LINES_PER_S }, () => log.write(LogLevel.Error, 'part', 'Failure.'));
  const count = (level: LogLevel) => kept.lines.filter((line) => line.level === level).length;
  assert.is(count(LogLevel.Debug), 150);
  assert.is(count(LogLevel.Info), 100);
  assert.is(count(LogLevel.Error), 50);
});

test.run();
