/**
 * Orders to one rank of a group and their answers.
 *
 * They are sent as the action and params of a `GroupOrder`; {@link parseRankOrder} validates them.
 * Only the rank's side process forwards them to the engine.
 */
import { z } from 'zod';

import { Err, Ok, type Result } from '../outcome.js';

import { BALLOT_SCHEMA, type Ballot } from './ballot.js';
import { EXPERT_MAP_SCHEMA } from './expertMap.js';

/** Actions of a rank; the values are sent as the action of an order. */
export enum RankAction {
  /** Loads the weights of a map while the map in force is in use. */
  Stage = 'stage-map',
  /** Promises the ballot and stops before the next step. */
  Hold = 'hold-rank',
  /** Puts a staged map in force; only while the rank is held under the same ballot. */
  Switch = 'switch-map',
  /** Lets the rank step again; only under the same ballot and with the named map in force. */
  Release = 'release-rank',
  /** Reads the state of the rank; never fenced, as it changes nothing. */
  Read = 'read-rank',
}

const COUNT_SCHEMA = z.number().int().nonnegative();

const STAGE_SCHEMA = z.strictObject({
  action: z.literal(RankAction.Stage),
  fencingNumber: COUNT_SCHEMA,
  map: EXPERT_MAP_SCHEMA,
  /** Versions to discard; the one in force is kept in any case. */
  discardVersions: z.array(COUNT_SCHEMA),
});

const HOLD_SCHEMA = z.strictObject({ action: z.literal(RankAction.Hold), ballot: BALLOT_SCHEMA });

/** Fields of an order that is valid only for one ballot and one incarnation of the side process. */
const BALLOT_FIELDS = {
  ballot: BALLOT_SCHEMA,
  incarnation: z.string(),
  mapVersion: COUNT_SCHEMA,
};

const SWITCH_SCHEMA = z.strictObject({ action: z.literal(RankAction.Switch), ...BALLOT_FIELDS });
const RELEASE_SCHEMA = z.strictObject({ action: z.literal(RankAction.Release), ...BALLOT_FIELDS });
const READ_SCHEMA = z.strictObject({ action: z.literal(RankAction.Read) });

const RANK_ORDER_SCHEMA = z.discriminatedUnion('action', [
  STAGE_SCHEMA,
  HOLD_SCHEMA,
  SWITCH_SCHEMA,
  RELEASE_SCHEMA,
  READ_SCHEMA,
]);

export type RankOrder = z.infer<typeof RANK_ORDER_SCHEMA>;

/** The order with action `A`. */
export type RankOrderOf<A extends RankAction> = Extract<RankOrder, { action: A }>;

/** State of a rank as reported by its engine. */
export const ENGINE_RANK_STATE_SCHEMA = z.object({
  /** Map in force; 0 if the engine has no map yet. */
  mapVersion: COUNT_SCHEMA,
  /** Versions that the rank can switch to, including the one in force. */
  availableVersions: z.array(COUNT_SCHEMA),
  /** Whether the rank is stopped before its next step. */
  isHeld: z.boolean(),
  /** Highest fencing number received; 0 if the engine does not check them. */
  fencingNumber: COUNT_SCHEMA,
  /** Steps completed. */
  steps: COUNT_SCHEMA,
});

export type EngineRankState = Readonly<z.infer<typeof ENGINE_RANK_STATE_SCHEMA>>;

/** State of a rank as reported by its side process. */
export interface RankState extends EngineRankState {
  /** Changes with every start of the side process. */
  readonly incarnation: string;
  /** Highest ballot that the side process has promised. */
  readonly promised: Ballot;
}

/** Why an order to a rank failed. */
export enum RankErrorKind {
  /** No answer in time; the order may have taken effect or may still do so. */
  Lost = 'lost',
  /** Another ballot is promised, or the ballot has already released the rank. */
  Superseded = 'superseded',
  /** The side process has restarted since it promised the ballot. */
  StaleIncarnation = 'stale-incarnation',
  /** A higher fencing number has been received, or the sender's lease is no longer held. */
  Fenced = 'fenced',
  /** The map is not available on the rank. */
  NotStaged = 'not-staged',
  /** Staging is refused while the rank is held, as recovery may need any available map. */
  Held = 'held',
  /** The side process has just started; orders of the previous one may still take effect. */
  NotReady = 'not-ready',
  /** Too many orders are queued. */
  Busy = 'busy',
  /** The order is malformed, does not fit the state of the rank or was refused by the engine. */
  Invalid = 'invalid',
}

export interface RankError {
  readonly kind: RankErrorKind;
  readonly detail: string;
  /** Highest ballot known to the rank; a retry needs a higher one. */
  readonly promised: Ballot;
}

export type RankAnswer = Result<RankState, RankError>;

/** Kinds of errors after which the same order may be sent again. */
const REPEATABLE_KINDS: ReadonlySet<RankErrorKind> = new Set([
  RankErrorKind.Lost,
  RankErrorKind.NotReady,
  RankErrorKind.Busy,
]);

/** Whether the same order can still succeed if it is sent again. */
export function isRepeatable(error: RankError): boolean {
  return REPEATABLE_KINDS.has(error.kind);
}

/**
 * Validates an order received over a link.
 *
 * @returns the order, or a message that names the invalid field
 */
export function parseRankOrder(
  action: string,
  params: Readonly<Record<string, unknown>>,
): Result<RankOrder, string> {
  const parsed = RANK_ORDER_SCHEMA.safeParse({ ...params, action });
  if (parsed.success) return Ok(parsed.data);
  const issue = parsed.error.issues[0];
  return Err(`rank order field ${issue?.path.join('.') ?? '?'}: ${issue?.message ?? 'unreadable'}`);
}
