/** The answer that belongs to a request's tag: long enough to travel in several chunks. */

const REPEATS = 16;

/** Text of the whole answer. */
export function formatAnswer(tag: string): string {
  return Array.from({ length: REPEATS }, (_, index) => `${tag}:${index};`).join('');
}
