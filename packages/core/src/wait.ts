/** Waits by the runtime's timers, which tests replace by a fake clock. */
export function wait(spanMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, spanMs);
  });
}
