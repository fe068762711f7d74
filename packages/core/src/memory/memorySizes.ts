/** Divides the memory of a VM: heap, buffers, and what Node itself needs. */
import { MemoryRegion } from './memoryKind.js';

const BYTES_PER_MB = 1024 * 1024;

/** Memory of Node's program, its libraries and its threads. */
const NATIVE_BYTES = 40 * BYTES_PER_MB;

/** Young generation of the heap, for short-lived objects. */
const YOUNG_BYTES = 48 * BYTES_PER_MB;

/** Heap that an entry uses without requests: code, configuration and registry. */
const BASE_HEAP_BYTES = 32 * BYTES_PER_MB;

/**
 * Part of the free memory that requests may hold. The rest is for objects and buffers that are not
 * collected yet, and for gaps between them.
 */
const HELD_FRACTION = 0.5;

/** Part of the heap for requests that heads in progress may use. */
const HEADS_FRACTION = 0.25;

/** Smallest budgets: requests within the usual limits are served one after the other. */
const BUFFER_BYTES_MIN = 8 * BYTES_PER_MB;
const HEAP_BYTES_MIN = 4 * BYTES_PER_MB;

export interface MemorySizes {
  readonly limitBytes: Readonly<Record<MemoryRegion, number>>;
  /** Limit on the bytes of all heads that are not complete. */
  readonly headBytes: number;
  /** Whether the memory suffices for a full heap beside the smallest budget for buffers. */
  readonly isSufficient: boolean;
}

/**
 * Computes the budgets.
 *
 * @param memoryBytes memory of the VM for this process
 * @param heapLimitBytes limit of V8's heap, with its young generation
 */
export function computeMemorySizes(memoryBytes: number, heapLimitBytes: number): MemorySizes {
  // Without a heap flag, V8's limit can exceed the memory of a small VM.
  const heapBytes = Math.min(heapLimitBytes, memoryBytes / 2 + YOUNG_BYTES);
  const freeBytes = memoryBytes - heapBytes - NATIVE_BYTES;
  const freeHeapBytes = heapBytes - YOUNG_BYTES - BASE_HEAP_BYTES;
  const heapShare = Math.max(HEAP_BYTES_MIN, freeHeapBytes * HELD_FRACTION);
  return {
    limitBytes: {
      [MemoryRegion.Heap]: heapShare * (1 - HEADS_FRACTION),
      [MemoryRegion.Buffers]: Math.max(BUFFER_BYTES_MIN, freeBytes * HELD_FRACTION),
    },
    headBytes: heapShare * HEADS_FRACTION,
    isSufficient: freeBytes * HELD_FRACTION >= BUFFER_BYTES_MIN,
  };
}
