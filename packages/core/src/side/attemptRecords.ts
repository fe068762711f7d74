/**
 * What a side process remembers of attempts, and what it may forget.
 *
 * A submission echoes the last tick that its sender had heard, and one whose echo is older than the
 * tick limit is refused. An id that was recorded dead at tick T can only come late in a submission
 * that was sent before T, so its echo is at most T: once T is older than the tick limit, the age
 * alone refuses it and the id can go. Where an id has to go earlier, {@link AttemptRecords.isStale}
 * refuses every submission whose echo is not newer than T.
 *
 * An ended attempt that was forgotten must not be taken for one that never came. Inquiries name a
 * tick heard no later than their submission: where it is newer than the echo of all forgotten
 * attempts, the attempt in question is not one of these.
 */
import type { Attempt } from './attempt.js';

/** Ids recorded dead at once, at most. */
const MAX_DEAD_IDS = 20_000;

/** Ended attempts remembered at once, at most. */
const MAX_ENDED_ATTEMPTS = 10_000;

/** Bytes of answers kept of ended attempts, all together. */
const MAX_REPLAY_BYTES = 8_388_608;

/** Limits on what is kept. */
export interface RecordLimits {
  /** Time for which ended attempts are kept. */
  readonly attemptKeptMs: number;
  readonly tickLimitMs: number;
}

/** Attempts and dead ids of this incarnation. */
export class AttemptRecords {
  readonly #limits: RecordLimits;

  readonly #attempts = new Map<string, Attempt>();

  /** Ended attempts and the time of their end, oldest first. */
  readonly #ended = new Map<Attempt, number>();

  /** Ticks at which ids were recorded dead, oldest first. */
  readonly #dead = new Map<string, number>();

  /** Submissions with no newer echo may be of a dead id that was forgotten early. */
  #forgottenDeadTickMs = Number.NEGATIVE_INFINITY;

  /** Submissions with no newer echo may be of an attempt that was forgotten. */
  #forgottenAttemptTickMs = Number.NEGATIVE_INFINITY;

  constructor(limits: RecordLimits) {
    this.#limits = limits;
  }

  /** All attempts remembered, running ones included. */
  get attempts(): readonly Attempt[] {
    return [...this.#attempts.values()];
  }

  find(id: string): Attempt | undefined {
    return this.#attempts.get(id);
  }

  isDead(id: string): boolean {
    return this.#dead.has(id);
  }

  /** Whether a submission with this echo is too old to be told from forgotten ones. */
  isStale(echoTickMs: number, nowMs: number): boolean {
    if (echoTickMs > nowMs || nowMs - echoTickMs > this.#limits.tickLimitMs) return true;
    return echoTickMs <= Math.max(this.#forgottenDeadTickMs, this.#forgottenAttemptTickMs);
  }

  /**
   * Whether an attempt that is not remembered may have been forgotten.
   *
   * @param submitTickMs tick heard no later than its submission; undefined where it is not known
   */
  isPossiblyForgotten(submitTickMs: number | undefined): boolean {
    if (this.#forgottenAttemptTickMs === Number.NEGATIVE_INFINITY) return false;
    return submitTickMs === undefined || submitTickMs <= this.#forgottenAttemptTickMs;
  }

  add(attempt: Attempt): void {
    this.#attempts.set(attempt.id, attempt);
  }

  /** Records that an id has not run and never will. */
  markDead(id: string, nowMs: number): void {
    this.#dead.delete(id);
    this.#dead.set(id, nowMs);
    if (this.#dead.size > MAX_DEAD_IDS) this.#forgetOldestDead();
  }

  /** Records that the engine has nothing more to do with an attempt. */
  markEnded(attempt: Attempt, nowMs: number): void {
    this.#ended.set(attempt, nowMs);
    if (this.#ended.size > MAX_ENDED_ATTEMPTS) this.#forgetOldestAttempt();
  }

  /** Forgets what has been kept for long enough. */
  prune(nowMs: number): void {
    this.#pruneDead(nowMs);
    this.#pruneEnded(nowMs);
    this.#enforceByteLimit();
  }

  #pruneDead(nowMs: number): void {
    const [oldest] = this.#dead;
    if (!oldest || nowMs - oldest[1] <= this.#limits.tickLimitMs) return;
    this.#dead.delete(oldest[0]);
    this.#pruneDead(nowMs);
  }

  #pruneEnded(nowMs: number): void {
    const [oldest] = this.#ended;
    if (!oldest || nowMs - oldest[1] <= this.#limits.attemptKeptMs) return;
    this.#forgetOldestAttempt();
    this.#pruneEnded(nowMs);
  }

  #forgetOldestDead(): void {
    const [oldest] = this.#dead;
    if (!oldest) return;
    this.#dead.delete(oldest[0]);
    this.#forgottenDeadTickMs = Math.max(this.#forgottenDeadTickMs, oldest[1]);
  }

  #forgetOldestAttempt(): void {
    const [oldest] = this.#ended.keys();
    if (!oldest) return;
    this.#ended.delete(oldest);
    this.#attempts.delete(oldest.id);
    oldest.discardResponse();
    this.#forgottenAttemptTickMs = Math.max(this.#forgottenAttemptTickMs, oldest.echoTickMs);
  }

  /** Discards the oldest answers: first those that were sent whole, then those nobody follows. */
  #enforceByteLimit(): void {
    const ended = [...this.#ended.keys()];
    let heldBytes = ended.reduce((sum, attempt) => sum + attempt.heldBytes, 0);
    if (heldBytes <= MAX_REPLAY_BYTES) return;
    const delivered = ended.filter((attempt) => attempt.isDelivered);
    const orphaned = ended.filter((attempt) => !attempt.session);
    [...delivered, ...orphaned].forEach((attempt) => {
      if (heldBytes <= MAX_REPLAY_BYTES) return;
      heldBytes -= attempt.heldBytes;
      attempt.discardResponse();
    });
  }
}
