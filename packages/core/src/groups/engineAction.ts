/**
 * Orders that load or unload models and adapters, change versions or change roles, with validation.
 *
 * They are sent as a `GroupOrder`. The side process executes each order id once and refuses orders
 * with an outdated fencing number.
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

/** Role of an engine in a pool that separates prefill from decode. */
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
 * Validates an order received from an operator or over a link.
 *
 * @returns the order, or a message that names the invalid field
 */
export function parseEngineAction(
  action: string,
  params: Readonly<Record<string, unknown>>,
): Result<EngineActionOrder, string> {
  const parsed = ENGINE_ACTION_SCHEMA.safeParse({ ...params, action });
  if (parsed.success) return Ok(parsed.data);
  const issue = parsed.error.issues[0];
  return Err(
    `engine order field ${issue?.path.join('.') ?? '?'}: ${issue?.message ?? 'unreadable'}`,
  );
}
