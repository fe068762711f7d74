import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { ShareTelemetry } from '../../../src/direct/sharing/shareTelemetry.js';
import { CountingMetrics } from '../../../src/ports/countingMetrics.js';
import { Log, type LogFields, type LogLevel } from '../../../src/ports/log.js';

const EXCESS = { use: 12.34, share: 8 };

class RecordingLog extends Log {
  readonly fields: LogFields[] = [];

  override write(_level: LogLevel, _part: string, _sentence: string, fields: LogFields = {}): void {
    this.fields.push(fields);
  }
}

test('refusals of a workspace are logged together, with what it holds and its share', () => {
  const log = new RecordingLog();
  const telemetry = new ShareTelemetry({ pool: 'p', log, metrics: new CountingMetrics() });
  Array.from({ length: 601 }, (_, at) => telemetry.noteRefused('one', EXCESS, at * 10));
  const lines = [1, 500].map((refused) => ({ refused, held: 12.3, share: 8 }));
  assert.equal(
    log.fields,
    lines.map((each) => ({ pool: 'p', workspace: 'one', ...each })),
  );
});

test('however many workspaces are refused, metrics name 16 of them', () => {
  const labels = new Set<string | undefined>();
  const metrics = Object.assign(new CountingMetrics(), {
    count: (_name: string, { workspace }: Readonly<Record<string, string>> = {}) =>
      labels.add(workspace),
  });
  const telemetry = new ShareTelemetry({ pool: 'p', log: new RecordingLog(), metrics });
  Array.from({ length: 1_000 }, (_, at) => telemetry.noteRefused(`w-${at}`, EXCESS, at));
  assert.is(labels.size, 17);
  assert.ok(labels.has('others'));
});

test.run();
