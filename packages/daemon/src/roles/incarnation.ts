/** Identity of one run of a process. */
import { randomBytes, randomInt } from 'node:crypto';

/** Enough that two runs never share an incarnation. */
const INCARNATION_BYTES = 8;
const SEED_BOUND = 2 ** 31;

/** Creates an incarnation that no earlier run had. */
export function createIncarnation(): string {
  return randomBytes(INCARNATION_BYTES).toString('hex');
}

/** Creates a seed for this run's random numbers. */
export function createSeed(): number {
  return randomInt(SEED_BOUND);
}
