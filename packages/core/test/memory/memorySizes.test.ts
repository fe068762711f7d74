/** Guards against budgets that do not fit into the memory of a VM. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { computeMemorySizes } from '../../src/memory/memorySizes.js';

const BYTES_PER_MB = 1024 * 1024;

/** V8's limit with the heap flag of 96 MB. */
const HEAP_LIMIT_BYTES = 144 * BYTES_PER_MB;

test('heap, buffers and native memory fit into the memory of each VM', () => {
  [250, 350, 602].forEach((memoryMb) => {
    const memoryBytes = memoryMb * BYTES_PER_MB;
    const { limitBytes, headBytes, isSufficient } = computeMemorySizes(
      memoryBytes,
      HEAP_LIMIT_BYTES,
    );
    assert.ok(isSufficient);
    assert.ok(HEAP_LIMIT_BYTES + 2 * limitBytes.buffers < memoryBytes);
    assert.ok(limitBytes.heap + headBytes < HEAP_LIMIT_BYTES / 2);
  });
});

test('a VM that is too small gets the smallest budgets and is reported', () => {
  const { limitBytes, isSufficient } = computeMemorySizes(100 * BYTES_PER_MB, HEAP_LIMIT_BYTES);
  assert.not(isSufficient);
  assert.is(limitBytes.buffers, 8 * BYTES_PER_MB);
});

test('without a heap flag the heap is limited by the memory of the VM', () => {
  const { limitBytes } = computeMemorySizes(250 * BYTES_PER_MB, 2_096 * BYTES_PER_MB);
  assert.ok(limitBytes.heap < 125 * BYTES_PER_MB);
});

test.run();
