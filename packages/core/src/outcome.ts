/**
 * Outcomes as values: the one place that imports ts-results.
 *
 * The named exports of ts-results are not visible to Node's ES modules, so every other module
 * takes them from here.
 */
import results, { type Result } from 'ts-results';

export const { Ok, Err } = results;
export type { Result };
