/** Runs the fake clock timer by timer, with all promises settled after each. */
import type { Clock } from '@sinonjs/fake-timers';

/** Taken before any fake clock replaces it. */
const realSetImmediate = setImmediate;

function flush(): Promise<void> {
  return new Promise((resolve) => {
    realSetImmediate(resolve);
  });
}

/** Runs all timers up to a time. */
export async function runClock(clock: Clock, endMs: number): Promise<void> {
  if (clock.now >= endMs) return;
  clock.next();
  await flush();
  await runClock(clock, endMs);
}
