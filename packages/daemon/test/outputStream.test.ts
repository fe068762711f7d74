import { Writable } from 'node:stream';

import { install } from '@sinonjs/fake-timers';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { OutputStream } from '../src/observe/outputStream.js';

const LINE = `${'x'.repeat(1_023)}\n`;

/** A reader that either consumes everything immediately or nothing at all. */
class Reader extends Writable {
  readonly #isConsuming: boolean;

  bytes = 0;

  constructor(isTaking: boolean) {
    super({ highWaterMark: 1 });
    this.#isConsuming = isTaking;
  }

  // eslint-disable-next-line no-underscore-dangle -- Node's name
  override _write(data: Buffer, _encoding: string, done: () => void): void {
    this.bytes += data.length;
    if (this.#isConsuming) done();
  }
}

test('a stalled reader does not block writes, and dropped lines are counted', () => {
  const clock = install({ now: 0, toFake: ['performance'] });
  const out = new OutputStream(new Reader(false));
  for (let at = 0; at < 2_000; at += 1) {
    out.write(LINE);
    clock.tick(10);
  }
  clock.uninstall();
  assert.ok(out.droppedLines > 1_400, `${out.droppedLines} lines were dropped`);
});

test('the bytes written per second are limited', () => {
  const clock = install({ now: 0, toFake: ['performance'] });
  const reader = new Reader(true);
  const out = new OutputStream(reader);
  for (let at = 0; at < 1_000; at += 1) out.write(LINE);
  const { bytes } = reader;
  clock.tick(1_001);
  out.write(LINE);
  clock.uninstall();
  assert.ok(bytes <= 162 * 1_024, `${bytes} bytes were written`);
  assert.is(reader.bytes, bytes + LINE.length);
  assert.is(out.droppedLines, 1_000 - bytes / LINE.length);
});

test.run();
