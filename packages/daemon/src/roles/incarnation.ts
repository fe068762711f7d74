/** Creates the random identity and the random seed of one run of a process. */
import { randomBytes, randomInt } from 'node:crypto';

/** 64 random bits make a collision between two runs negligible. */
const INCARNATION_BYTES = 8;

/** Upper bound of seeds, exclusive. */
const SEED_LIMIT = 2 ** 31;

/** Creates an incarnation id, unique to this run, as a hexadecimal string. */
export function createIncarnation(): string {
  return randomBytes(INCARNATION_BYTES).toString('hex');
}

/** Creates a random seed for this run's pseudo-random numbers. */
export function createSeed(): number {
  return randomInt(SEED_LIMIT);
}
