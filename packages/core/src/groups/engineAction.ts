/**
 * Orders to load models, adapters and versions and to change role, with their checks.
 *
 * They travel as a `GroupOrder`; the side process carries each order id out once and refuses old
 * fencing numbers.
 */
import { z } from 'zod';

import { Err, Ok, type Result } from '../outcome.js';

export enum EngineAction {
  LoadModel = 'load-model',
  UnloadModel = 'unload-model',
  LoadAdapter = 'load-adapter',
  ChangeVersion = 'change-version',
  ChangeRole = 'change-role',
}

/** What an engine does in a pool that splits prefill from decode. */
export enum EngineRole {
  Mixed = 'mixed',
  Prefill = 'prefill',
  Decode = 'decode',
}

const NAME_SCHEMA = z.string().min(1).max(200);

const ENGINE_ACTION_SCHEMA = z.discriminatedUnion('action', [
  z.strictObject({
    action: z.literal(EngineAction.LoadModel),
    model: NAME_SCHEMA,
    version: NAME_SCHEMA,
  }),
  z.strictObject({ action: z.literal(EngineAction.UnloadModel), model: NAME_SCHEMA }),
  z.strictObject({
    action: z.literal(EngineAction.LoadAdapter),
    model: NAME_SCHEMA,
    adapter: NAME_SCHEMA,
  }),
  z.strictObject({
    action: z.literal(EngineAction.ChangeVersion),
    model: NAME_SCHEMA,
    version: NAME_SCHEMA,
  }),
  z.strictObject({ action: z.literal(EngineAction.ChangeRole), role: z.enum(EngineRole) }),
]);

export type EngineActionOrder = z.infer<typeof ENGINE_ACTION_SCHEMA>;

/**
 * Checks an order as it came from an operator or over a link.
 *
 * @returns the order, or a sentence that names the field at fault
 */
export function parseEngineAction(
  action: string,
  params: Readonly<Record<string, unknown>>,
): Result<EngineActionOrder, string> {
  const parsed = ENGINE_ACTION_SCHEMA.safeParse({ ...params, action });
  if (parsed.success) return Ok(parsed.data);
  const issue = parsed.error.issues[0];
  return Err(`order field ${issue?.path.join('.') ?? '?'}: ${issue?.message ?? 'unreadable'}`);
}
