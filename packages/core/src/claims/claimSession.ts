/**
 * The claim of one request: acquired before the first attempt and updated before each retry.
 */
import { refuseNotRun, refuseUnknown } from '../entry/refusal.js';
import { RefusalReason, type Refusal } from '../model/reason.js';
import { VERSION_ABSENT } from '../ports/objectStore.js';

import type { ClaimStore } from './claimStore.js';
import { ClaimState, type ClaimRecord, type KeptAnswer } from './claimRecord.js';

/** Retry-After sent to the caller while the platform is unavailable. */
const PLATFORM_RETRY_MS = 2_000;

/** Retry-After sent to the caller while its idempotency key is in use. */
const KEY_RETRY_MS = 1_000;

export enum ClaimStepKind {
  /** The attempt may be sent. */
  Held = 'held',
  /** The request already finished; its stored answer is to be replayed. */
  Replay = 'replay',
  /** Another attempt may be running: its side process must be asked about the outcome. */
  Inquire = 'inquire',
  Refused = 'refused',
}

/** The next action for a claimed request. */
export type ClaimStep =
  | { readonly kind: ClaimStepKind.Held }
  | { readonly kind: ClaimStepKind.Replay; readonly answer: KeptAnswer }
  | { readonly kind: ClaimStepKind.Inquire; readonly record: ClaimRecord }
  | { readonly kind: ClaimStepKind.Refused; readonly refusal: Refusal };

/** Identifies the claimed request and the attempt that is about to be sent. */
export type ClaimDraft = Omit<ClaimRecord, 'state' | 'answer'>;

function refuse(refusal: Refusal): ClaimStep {
  return { kind: ClaimStepKind.Refused, refusal };
}

/** The claim of one request on its idempotency key. */
export class ClaimSession {
  readonly #store: ClaimStore;

  readonly #key: string;

  /** Stored version that the next write is conditional on. */
  #version = VERSION_ABSENT;

  /** The record that this request wrote, or the existing record of an attempt it inquires about. */
  #record: ClaimRecord | undefined;

  #isHeld = false;

  constructor(store: ClaimStore, key: string) {
    this.#store = store;
    this.#key = key;
  }

  /** Claims the key for an attempt that is about to be sent. */
  async acquire(draft: ClaimDraft): Promise<ClaimStep> {
    const record: ClaimRecord = { ...draft, state: ClaimState.Claimed };
    const written = await this.#store.write(this.#key, record, this.#version);
    if (!written.ok) {
      const detail = `the idempotency key could not be claimed: ${written.val}`;
      return refuse(refuseNotRun(RefusalReason.PlatformUnavailable, PLATFORM_RETRY_MS, detail));
    }
    const { version, found } = written.val;
    if (found) return this.#resolve(found, version, record.requestHash);
    this.#hold(record, version);
    return { kind: ClaimStepKind.Held };
  }

  /** Marks the claim as finished and stores the answer with it, if there is one. */
  finish(answer: KeptAnswer | undefined): void {
    if (!this.#record) return;
    const record = { ...this.#record, state: ClaimState.Finished };
    this.#store.save(this.#key, answer ? { ...record, answer } : record, this.#version);
  }

  /** Removes the claim. Call this only if no attempt under it has run or can still run. */
  release(): void {
    if (this.#isHeld) this.#store.release(this.#key, this.#version);
  }

  #hold(record: ClaimRecord, version: number): void {
    this.#record = record;
    this.#version = version;
    this.#isHeld = true;
  }

  #resolve(found: ClaimRecord, version: number, requestHash: string): ClaimStep {
    if (found.requestHash !== requestHash) {
      const detail = 'the idempotency key was used for a different request';
      return refuse(refuseNotRun(RefusalReason.KeyReused, 0, detail));
    }
    if (found.answer) return { kind: ClaimStepKind.Replay, answer: found.answer };
    if (found.state === ClaimState.Finished) {
      const detail = 'the request has already run; its answer was too large to store';
      return refuse(refuseUnknown(RefusalReason.KeyInUse, 0, detail));
    }
    if (this.#version !== VERSION_ABSENT) {
      const detail = 'another entry has taken over the request';
      return refuse(refuseUnknown(RefusalReason.KeyInUse, KEY_RETRY_MS, detail));
    }
    this.#record = found;
    this.#version = version;
    return { kind: ClaimStepKind.Inquire, record: found };
  }
}
