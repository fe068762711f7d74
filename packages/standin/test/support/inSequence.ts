/** Does work for each item, one after the other. */
export function inSequence<T>(
  items: readonly T[],
  work: (item: T) => Promise<void>,
): Promise<void> {
  return items.reduce(async (before, item) => {
    await before;
    await work(item);
  }, Promise.resolve());
}
