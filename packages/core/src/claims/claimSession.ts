/**
 * The claim of one request: taken before its first attempt, and updated before each further one.
 */
import { refuseNotRun, refuseUnknown } from '../entry/refusal.js';
import { RefusalReason, type Refusal } from '../model/reason.js';
import { VERSION_ABSENT } from '../ports/objectStore.js';

import type { ClaimKeeper } from './claimKeeper.js';
import { ClaimState, type ClaimRecord, type KeptAnswer } from './claimRecord.js';

/** Time after which a request is asked to come back while the platform is out of reach. */
const PLATFORM_RETRY_MS = 2_000;

/** Time after which a request is asked to come back while its key is in use. */
const KEY_RETRY_MS = 1_000;

export enum ClaimStepKind {
  /** The attempt may be sent. */
  Held = 'held',
  /** The request has finished before; its answer is kept. */
  Replay = 'replay',
  /** Another attempt may be running: it is to be asked for. */
  Inquire = 'inquire',
  Refused = 'refused',
}

/** What is to be done next about a claimed request. */
export type ClaimStep =
  | { readonly kind: ClaimStepKind.Held }
  | { readonly kind: ClaimStepKind.Replay; readonly answer: KeptAnswer }
  | { readonly kind: ClaimStepKind.Inquire; readonly record: ClaimRecord }
  | { readonly kind: ClaimStepKind.Refused; readonly refusal: Refusal };

/** What identifies a claimed request, and the attempt that is about to be made. */
export type ClaimDraft = Omit<ClaimRecord, 'state' | 'answer'>;

function refuse(refusal: Refusal): ClaimStep {
  return { kind: ClaimStepKind.Refused, refusal };
}

/** One request's claim. */
export class ClaimSession {
  readonly #store: ClaimKeeper;

  readonly #key: string;

  /** Version that the next write expects. */
  #version = VERSION_ABSENT;

  /** The record as this request has written it, or found it at a finished or running attempt. */
  #record: ClaimRecord | undefined;

  #isHeld = false;

  constructor(store: ClaimKeeper, key: string) {
    this.#store = store;
    this.#key = key;
  }

  /** Claims the key for an attempt that is about to be sent. */
  async acquire(draft: ClaimDraft): Promise<ClaimStep> {
    const record: ClaimRecord = { ...draft, state: ClaimState.Claimed };
    const written = await this.#store.write(this.#key, record, this.#version);
    if (!written.ok) {
      const detail = `the claim cannot be written: ${written.val}`;
      return refuse(refuseNotRun(RefusalReason.PlatformUnavailable, PLATFORM_RETRY_MS, detail));
    }
    const { version, found } = written.val;
    if (found) return this.#resolve(found, version, record.requestHash);
    this.#hold(record, version);
    return { kind: ClaimStepKind.Held };
  }

  /** Keeps the answer with the claim. */
  finish(answer: KeptAnswer | undefined): void {
    if (!this.#record) return;
    const record = { ...this.#record, state: ClaimState.Finished };
    this.#store.save(this.#key, answer ? { ...record, answer } : record, this.#version);
  }

  /** Gives the claim up; only where no attempt under it has run or can run. */
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
      const detail = 'the key was used for another request';
      return refuse(refuseNotRun(RefusalReason.KeyReused, 0, detail));
    }
    if (found.answer) return { kind: ClaimStepKind.Replay, answer: found.answer };
    if (found.state === ClaimState.Finished) {
      const detail = 'the request has run before; its answer was too large to keep';
      return refuse(refuseUnknown(RefusalReason.KeyInUse, 0, detail));
    }
    if (this.#version !== VERSION_ABSENT) {
      const detail = 'another entry has taken the request on';
      return refuse(refuseUnknown(RefusalReason.KeyInUse, KEY_RETRY_MS, detail));
    }
    this.#record = found;
    this.#version = version;
    return { kind: ClaimStepKind.Inquire, record: found };
  }
}
