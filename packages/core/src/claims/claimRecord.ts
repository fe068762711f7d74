/**
 * What the platform keeps of a request that was sent with an Idempotency-Key.
 *
 * The record names the one attempt that may run, so that any entry can ask what became of it.
 */
import { createHash } from 'node:crypto';

import { z } from 'zod';

import type { CallerRequest } from '../model/request.js';

export const CLAIM_PREFIX = 'claim/';

/** Largest body of an answer that is kept with its claim. */
export const KEPT_ANSWER_BYTES_MAX = 65_536;

/** Time for which a key is remembered; claims are swept after it. */
export const CLAIM_RETENTION_MS = 86_400_000;

export enum ClaimState {
  /** The attempt may be running, have run, or never be sent. */
  Claimed = 'claimed',
  /** The whole answer has been received. */
  Finished = 'finished',
}

const KEPT_ANSWER = z.strictObject({
  status: z.number().int(),
  headers: z.record(z.string(), z.string()),
  bodyBase64: z.base64(),
});

const CLAIM_RECORD = z.strictObject({
  state: z.enum(ClaimState),
  /** SHA-256 of the request, so that another request under the same key is told apart. */
  requestHash: z.string(),
  entry: z.string(),
  upstream: z.string(),
  sideIncarnation: z.string(),
  attemptId: z.string(),
  /** Clock of the side process when the claim was made. */
  sideTickMs: z.number(),
  /** Clock of the entry that made the claim; only to sweep by. */
  claimedAtMs: z.number(),
  /** Missing where the request has not finished or its answer was too large to keep. */
  answer: KEPT_ANSWER.optional(),
});

export type KeptAnswer = z.infer<typeof KEPT_ANSWER>;
export type ClaimRecord = z.infer<typeof CLAIM_RECORD>;

function hashParts(parts: readonly (string | Uint8Array)[]): string {
  const hash = createHash('sha256');
  parts.forEach((part) => hash.update(String(part.length)).update('\0').update(part));
  return hash.digest('hex');
}

/** Key of a claim in the platform; neither workspace nor caller's key can be read from it. */
export function formatClaimKey(workspace: string, idempotencyKey: string): string {
  return `${CLAIM_PREFIX}${hashParts([workspace, idempotencyKey])}`;
}

/** Hash of what makes two requests the same one. */
export function hashRequest(request: CallerRequest): string {
  return hashParts([request.method, request.path, request.body]);
}

/**
 * Checks a record read from the platform.
 *
 * @returns undefined where it is no claim
 */
export function parseClaimRecord(value: unknown): ClaimRecord | undefined {
  const parsed = CLAIM_RECORD.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}
