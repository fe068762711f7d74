/** Guards against lost or mixed up bytes, and against memory far above the size. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { JoinedBuffer } from '../../src/memory/joinedBuffer.js';

test('pieces are joined in order, and a piece that was taken does not change later', () => {
  const buffer = new JoinedBuffer();
  buffer.append(Buffer.from('ab'));
  buffer.append(Buffer.from('c'));
  const taken = buffer.take();
  buffer.append(Buffer.from('x'));
  buffer.append(Buffer.from('yz'));
  assert.is(taken.toString(), 'abc');
  assert.is(buffer.read().toString(), 'xyz');
});

test('many small pieces use little more memory than their size', () => {
  const buffer = new JoinedBuffer();
  const piece = Buffer.from('x');
  for (let at = 0; at < 100_000; at += 1) buffer.append(piece);
  assert.is(buffer.sizeBytes, 100_000);
  assert.ok(buffer.capacityBytes < 2 * 100_000);
  buffer.take();
  assert.is(buffer.capacityBytes, 0);
});

test.run();
