/**
 * Ballots order everybody who may change the expert map of a group.
 *
 * A ballot starts with the fencing number of a coordinator's lease. Recovery by a rank's side
 * process stays within the highest fencing number seen and raises the attempt, so it needs no
 * platform, and the next coordinator still outranks it.
 *
 * Source: L. Lamport, Paxos Made Simple (2001), phase 1; here every quorum is all of the ranks.
 */
import { z } from 'zod';

const COUNT_SCHEMA = z.number().int().nonnegative();

export const BALLOT_SCHEMA = z.strictObject({
  fencingNumber: COUNT_SCHEMA,
  attempt: COUNT_SCHEMA,
  /** Incarnation of the proposing process: no two lives of a process share a ballot. */
  proposer: z.string(),
});

/** One attempt to change or repair the map of a group. */
export type Ballot = Readonly<z.infer<typeof BALLOT_SCHEMA>>;

/** Lower than every ballot in use. */
export const NO_BALLOT: Ballot = { fencingNumber: 0, attempt: 0, proposer: '' };

function compareNames(first: string, second: string): number {
  if (first === second) return 0;
  return first < second ? -1 : 1;
}

/** Negative where the first is the older one, 0 where they are the same. */
export function compareBallots(first: Ballot, second: Ballot): number {
  return (
    first.fencingNumber - second.fencingNumber ||
    first.attempt - second.attempt ||
    compareNames(first.proposer, second.proposer)
  );
}

/** The higher one of two ballots. */
export function maxBallot(first: Ballot, second: Ballot): Ballot {
  return compareBallots(first, second) < 0 ? second : first;
}

/**
 * Next ballot of a proposer.
 *
 * @param seen highest ballot that the proposer has heard of
 * @param fencingNumber the coordinator's own; left out by recovery
 * @returns undefined where a newer coordinator has been seen
 */
export function nextBallot(
  seen: Ballot,
  proposer: string,
  fencingNumber = seen.fencingNumber,
): Ballot | undefined {
  if (fencingNumber < seen.fencingNumber) return undefined;
  const attempt = fencingNumber === seen.fencingNumber ? seen.attempt + 1 : 1;
  return { fencingNumber, attempt, proposer };
}
