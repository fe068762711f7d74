/** Runs the timers of a fake clock one by one and lets pending promises settle after each. */
import type { Clock } from '@sinonjs/fake-timers';

/** Saved before a fake clock replaces it. */
const realSetImmediate = setImmediate;

function flush(): Promise<void> {
  return new Promise((resolve) => {
    realSetImmediate(resolve);
  });
}

/** Runs all timers until the clock reaches a time. */
export async function runClock(clock: Clock, endMs: number): Promise<void> {
  if (clock.now >= endMs) return;
  clock.next();
  await flush();
  await runClock(clock, endMs);
}
