/** Waits by the runtime's clock, which tests pause and advance. */
export function wait(spanMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, spanMs);
  });
}
