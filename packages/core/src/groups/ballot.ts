/**
 * Ballots give a total order to all attempts to change the expert map of a group.
 *
 * A ballot is compared by the fencing number of a coordinator's lease first. Recovery from an
 * abandoned hold reuses the highest fencing number seen and raises the attempt, so it needs no
 * platform, and the next coordinator still outranks it.
 *
 * Source: L. Lamport, Paxos Made Simple (2001), phase 1; here the only quorum is all ranks.
 */
import { z } from 'zod';

const COUNT_SCHEMA = z.number().int().nonnegative();

export const BALLOT_SCHEMA = z.strictObject({
  fencingNumber: COUNT_SCHEMA,
  attempt: COUNT_SCHEMA,
  /** Incarnation of the proposing process, so that a restarted process never reuses a ballot. */
  proposer: z.string(),
});

/** Number of one attempt to change or repair the map of a group. */
export type Ballot = Readonly<z.infer<typeof BALLOT_SCHEMA>>;

/** Ballot that is lower than every proposed one. */
export const NO_BALLOT: Ballot = { fencingNumber: 0, attempt: 0, proposer: '' };

function compareNames(first: string, second: string): number {
  if (first === second) return 0;
  return first < second ? -1 : 1;
}

/** Negative if the first ballot is lower, 0 if they are equal, positive otherwise. */
export function compareBallots(first: Ballot, second: Ballot): number {
  return (
    first.fencingNumber - second.fencingNumber ||
    first.attempt - second.attempt ||
    compareNames(first.proposer, second.proposer)
  );
}

/** The higher of two ballots. */
export function maxBallot(first: Ballot, second: Ballot): Ballot {
  return compareBallots(first, second) < 0 ? second : first;
}

/**
 * Next ballot of a proposer.
 *
 * @param seen highest ballot that the proposer has received
 * @param fencingNumber of the coordinator's lease; omitted by recovery
 * @returns undefined if `seen` has a higher fencing number, so a newer coordinator exists
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
