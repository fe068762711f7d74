import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { AttemptOutcome, UrgencyTelemetry } from '../../../src/direct/sharing/urgencyTelemetry.js';
import { CountingMetrics } from '../../../src/ports/countingMetrics.js';
import { Log, type LogFields, type LogLevel } from '../../../src/ports/log.js';

class RecordingLog extends Log {
  readonly lines: LogFields[] = [];

  override write(_level: LogLevel, _part: string, _sentence: string, fields: LogFields = {}): void {
    this.lines.push(fields);
  }
}

function createTelemetry() {
  const log = new RecordingLog();
  const metrics = new CountingMetrics();
  const telemetry = new UrgencyTelemetry({ pool: 'p', log, metrics });
  const note = (priority: number, outcomes: readonly AttemptOutcome[], nowMs: number): void =>
    outcomes.forEach((outcome) => telemetry.noteOutcome(priority, outcome, nowMs));
  const readGauge = () =>
    metrics.list().find(([name]) => name === 'priority.inverted{pool=p}')?.[1];
  return { log, metrics, note, readGauge };
}

const { OnTime, Late, Refused } = AttemptOutcome;
const GOOD = [OnTime, OnTime, OnTime, OnTime, OnTime];
const BAD = [OnTime, OnTime, OnTime, Late, Refused];

// Guards against an inversion that operators cannot see, and against a log line for every second.
test('an inversion is counted by the second, logged once, and its end is shown', () => {
  const { log, metrics, note, readGauge } = createTelemetry();
  [0, 1_000].forEach((atMs) => {
    note(0, BAD, atMs);
    note(2, GOOD, atMs);
  });
  note(0, GOOD, 2_000);
  note(2, GOOD, 2_000);
  assert.is(metrics.readCount('priority.inversion{pool=p}'), 2);
  assert.is(readGauge(), 1);
  assert.equal(log.lines, [
    { pool: 'p', priority: 0, onTime: 0.6, lessUrgent: 2, lessUrgentOnTime: 1 },
  ]);
  note(0, GOOD, 3_000);
  assert.is(metrics.readCount('priority.inversion{pool=p}'), 2);
  assert.is(readGauge(), 0);
  assert.is(metrics.readCount('priority.attempts{outcome=refused,pool=p,priority=0}'), 2);
});

// Guards against reports of the usual order, and of differences between a few requests.
test('the order of urgency and small samples are no inversion', () => {
  const { log, metrics, note, readGauge } = createTelemetry();
  note(0, GOOD, 0);
  note(2, BAD, 0);
  note(0, BAD.slice(1), 1_000);
  note(2, GOOD, 1_000);
  note(0, GOOD, 2_000);
  assert.is(metrics.readTotal('priority.inversion'), 0);
  assert.is(readGauge(), 0);
  assert.equal(log.lines, []);
});

test.run();
