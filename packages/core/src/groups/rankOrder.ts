/**
 * Orders to one rank of a group and their answers.
 *
 * They travel as the action and params of a `GroupOrder`; {@link parseRankOrder} checks them. The
 * rank's side process is the only one that passes them on to the engine.
 */
import { z } from 'zod';

import { Err, Ok, type Result } from '../outcome.js';

import { BALLOT_SCHEMA, type Ballot } from './ballot.js';
import { EXPERT_MAP_SCHEMA } from './expertMap.js';

export enum RankAction {
  /** Loads the weights of a map while the present one runs. */
  Stage = 'stage-map',
  /** Promises the ballot and stops before the next step. */
  Hold = 'hold-rank',
  /** Puts a staged map in force; only while held under the same ballot. */
  Switch = 'switch-map',
  /** Lets the rank step again; only under the same ballot, on the map that is named. */
  Release = 'release-rank',
  /** Changes nothing, so no engine refuses it for its fencing number. */
  Read = 'read-rank',
}

const COUNT_SCHEMA = z.number().int().nonnegative();

const STAGE_SCHEMA = z.strictObject({
  action: z.literal(RankAction.Stage),
  fencingNumber: COUNT_SCHEMA,
  map: EXPERT_MAP_SCHEMA,
  /** Versions no longer needed; the one in force is never discarded. */
  discardVersions: z.array(COUNT_SCHEMA),
});

const HOLD_SCHEMA = z.strictObject({ action: z.literal(RankAction.Hold), ballot: BALLOT_SCHEMA });

/** Fields of an order that holds only within one ballot and one life of the side process. */
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

/** The order of one action. */
export type RankOrderOf<A extends RankAction> = Extract<RankOrder, { action: A }>;

/** What an engine says of its rank. */
export const ENGINE_RANK_STATE_SCHEMA = z.object({
  /** 0 where the engine has no map yet. */
  mapVersion: COUNT_SCHEMA,
  /** Versions that can be switched to, the one in force included. */
  availableVersions: z.array(COUNT_SCHEMA),
  isHeld: z.boolean(),
  /** Highest fencing number seen; 0 where the engine does not check them. */
  fencingNumber: COUNT_SCHEMA,
  /** Steps completed. */
  steps: COUNT_SCHEMA,
});

export type RankReading = Readonly<z.infer<typeof ENGINE_RANK_STATE_SCHEMA>>;

/** What a side process says of its rank. */
export interface RankState extends RankReading {
  /** Changes with every start of the side process. */
  readonly incarnation: string;
  readonly promised: Ballot;
}

export enum RankErrorKind {
  /** No answer in time; the order may have taken effect, or may yet. */
  Lost = 'lost',
  /** A higher ballot has been promised. */
  Superseded = 'superseded',
  /** The side process that promised the ballot is no more. */
  StaleIncarnation = 'stale-incarnation',
  /** A higher fencing number has been seen. */
  Fenced = 'fenced',
  NotStaged = 'not-staged',
  /** No staging while held: recovery may need every map there is. */
  Held = 'held',
  /** The side process has just started, and orders of its forerunner may still take effect. */
  NotReady = 'not-ready',
  /** Too many orders wait. */
  Busy = 'busy',
  Invalid = 'invalid',
}

export interface RankError {
  readonly kind: RankErrorKind;
  readonly detail: string;
  /** Highest ballot known there, for whoever tries again. */
  readonly promised: Ballot;
}

export type RankAnswer = Result<RankState, RankError>;

/** Kinds of errors after which the same order may be given again. */
const REPEATABLE_KINDS: ReadonlySet<RankErrorKind> = new Set([
  RankErrorKind.Lost,
  RankErrorKind.NotReady,
  RankErrorKind.Busy,
]);

/** Whether the same order may yet succeed. */
export function isRepeatable(error: RankError): boolean {
  return REPEATABLE_KINDS.has(error.kind);
}

/**
 * Checks an order that came over a link.
 *
 * @returns the order, or a sentence that names the field at fault
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
