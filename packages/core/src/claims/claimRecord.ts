/**
 * The stored record of a request that was sent with an Idempotency-Key header.
 *
 * The record names the only attempt that may run, so that any entry can inquire about its outcome.
 */
import { createHash } from 'node:crypto';

import { z } from 'zod';

import { FINAL_STATUS } from '../model/responseStatus.js';
import type { CallerRequest } from '../model/request.js';

export const CLAIM_PREFIX = 'claim/';

/** Largest answer body that is stored with a claim. */
export const KEPT_ANSWER_BYTES_MAX = 65_536;

/** How long an idempotency key is remembered (24 hours); older claims are swept. */
export const CLAIM_RETENTION_MS = 86_400_000;

export enum ClaimState {
  /** The attempt may be running, may have run, or may never be sent. */
  Claimed = 'claimed',
  /** The complete answer has been received. */
  Finished = 'finished',
}

const KEPT_ANSWER = z.strictObject({
  status: FINAL_STATUS,
  headers: z.record(z.string(), z.string()),
  bodyBase64: z.base64(),
});

const CLAIM_RECORD = z.strictObject({
  state: z.enum(ClaimState),
  /** SHA-256 of the request, to detect a different request under the same key. */
  requestHash: z.string(),
  entry: z.string(),
  upstream: z.string(),
  sideIncarnation: z.string(),
  attemptId: z.string(),
  /** Clock of the side process when the claim was made. */
  sideTickMs: z.number(),
  /** Wall clock of the entry that made the claim; used only for sweeping. */
  claimedAtMs: z.number(),
  /** Missing if the request has not finished or its answer was too large to store. */
  answer: KEPT_ANSWER.optional(),
});

export type KeptAnswer = z.infer<typeof KEPT_ANSWER>;
export type ClaimRecord = z.infer<typeof CLAIM_RECORD>;

function hashParts(parts: readonly (string | Uint8Array)[]): string {
  const hash = createHash('sha256');
  parts.forEach((part) => hash.update(String(part.length)).update('\0').update(part));
  return hash.digest('hex');
}

/** Formats a claim's key in the store as a hash that hides the workspace and the caller's key. */
export function formatClaimKey(workspace: string, idempotencyKey: string): string {
  return `${CLAIM_PREFIX}${hashParts([workspace, idempotencyKey])}`;
}

/** Hashes method, path and body: requests with equal hashes count as the same request. */
export function hashRequest(request: CallerRequest): string {
  return hashParts([request.method, request.path, request.body]);
}

/**
 * Parses a record read from the platform.
 *
 * @returns undefined if the value is not a valid claim
 */
export function parseClaimRecord(value: unknown): ClaimRecord | undefined {
  const parsed = CLAIM_RECORD.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}
