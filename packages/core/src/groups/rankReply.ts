/** Encodes and decodes a side process's answer about its rank in a `GroupReply`. */
import { z } from 'zod';

import type { MessageOf, MessageType } from '../messages/message.js';
import { Err, Ok } from '../outcome.js';

import { BALLOT_SCHEMA, NO_BALLOT } from './ballot.js';
import { ENGINE_RANK_STATE_SCHEMA, RankErrorKind, type RankAnswer } from './rankOrder.js';

const STATE_SCHEMA = ENGINE_RANK_STATE_SCHEMA.extend({
  incarnation: z.string(),
  promised: BALLOT_SCHEMA,
});

const ERROR_SCHEMA = z.object({
  error: z.enum(RankErrorKind),
  detail: z.string(),
  promised: BALLOT_SCHEMA,
});

/** Fields of a `GroupReply` that carry the result of its order. */
export type ReplyBody = Pick<MessageOf<MessageType.GroupReply>, 'isOk' | 'result'>;

/** Encodes an answer in the fields of a reply. */
export function writeRankReply(answer: RankAnswer): ReplyBody {
  if (answer.ok) return { isOk: true, result: { ...answer.val } };
  const { kind, detail, promised } = answer.val;
  return { isOk: false, result: { error: kind, detail, promised } };
}

/** Decodes an answer; a malformed reply becomes an `Invalid` error. */
export function readRankReply(reply: ReplyBody): RankAnswer {
  const state = STATE_SCHEMA.safeParse(reply.result);
  if (reply.isOk && state.success) return Ok(state.data);
  const error = ERROR_SCHEMA.safeParse(reply.result);
  if (!error.success) {
    return Err({
      kind: RankErrorKind.Invalid,
      detail: 'malformed rank reply',
      promised: NO_BALLOT,
    });
  }
  const { error: kind, detail, promised } = error.data;
  return Err({ kind, detail, promised });
}
