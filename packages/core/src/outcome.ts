/**
 * Result type for functions that can fail; the only module that imports ts-results.
 *
 * The named exports of ts-results are not visible to Node's ES modules, so all other modules import
 * them from here.
 */
import results, { type Result } from 'ts-results';

export const { Ok, Err } = results;
export type { Result };
