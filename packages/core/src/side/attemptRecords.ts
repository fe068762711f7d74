/**
 * Attempts and dead ids that a side process remembers, and the rules for forgetting them.
 *
 * A dead id belongs to an attempt that has not run and must never run. A submission echoes the
 * last tick that its sender had received, and is refused if the echo is older than the tick limit.
 * An id recorded as dead at tick T can only arrive in a submission that was sent before T, so its
 * echo is at most T: once T is older than the tick limit, such a submission is refused by its age
 * and the id can be removed. If an id has to be removed earlier, {@link AttemptRecords.isStale}
 * refuses every submission whose echo is not newer than T.
 *
 * An ended attempt that was forgotten must not be mistaken for one that was never received. An
 * inquiry names a tick received no later than its submission was sent: if that tick is newer than
 * the echo of all forgotten attempts, the attempt in question is not one of them.
 *
 * A complete response that a session waits for is kept longer than others, up to its deadline, but
 * within the same limits of records and bytes.
 */
import type { Attempt } from './attempt.js';

/** Most dead ids remembered at the same time. */
const MAX_DEAD_IDS = 20_000;

/** Most ended attempts remembered at the same time. */
const MAX_ENDED_ATTEMPTS = 10_000;

/** Most attempts with a waiting session that are passed over to forget a newer one. */
const MAX_PASSED_OVER = 1_000;

/** Most response bytes kept for all ended attempts together. */
const MAX_REPLAY_BYTES = 8_388_608;

/** Retention limits. */
export interface RecordLimits {
  /** Time for which ended attempts are kept, unless a session waits for the response. */
  readonly attemptKeptMs: number;
  readonly tickLimitMs: number;
}

/** Stores the attempts and dead ids of this incarnation. */
export class AttemptRecords {
  readonly #limits: RecordLimits;

  readonly #attempts = new Map<string, Attempt>();

  /** Ended attempts and the time at which they ended, oldest first. */
  readonly #ended = new Map<Attempt, number>();

  /** Dead ids and the tick at which each was recorded, oldest first. */
  readonly #dead = new Map<string, number>();

  /** A submission whose echo is not newer may carry a dead id that was removed early. */
  #forgottenDeadTickMs = Number.NEGATIVE_INFINITY;

  /** A submission whose echo is not newer may belong to a forgotten attempt. */
  #forgottenAttemptTickMs = Number.NEGATIVE_INFINITY;

  constructor(limits: RecordLimits) {
    this.#limits = limits;
  }

  /** All remembered attempts, including running ones. */
  get attempts(): readonly Attempt[] {
    return [...this.#attempts.values()];
  }

  find(id: string): Attempt | undefined {
    return this.#attempts.get(id);
  }

  isDead(id: string): boolean {
    return this.#dead.has(id);
  }

  /**
   * Whether the echo of a submission is in the future, older than the tick limit, or not newer
   * than a forgotten attempt or a dead id that was removed early.
   */
  isStale(echoTickMs: number, nowMs: number): boolean {
    if (echoTickMs > nowMs || nowMs - echoTickMs > this.#limits.tickLimitMs) return true;
    return echoTickMs <= Math.max(this.#forgottenDeadTickMs, this.#forgottenAttemptTickMs);
  }

  /**
   * Whether an attempt that is not remembered may have been forgotten.
   *
   * @param submitTickMs tick received no later than its submission; undefined if unknown
   */
  isPossiblyForgotten(submitTickMs: number | undefined): boolean {
    if (this.#forgottenAttemptTickMs === Number.NEGATIVE_INFINITY) return false;
    return submitTickMs === undefined || submitTickMs <= this.#forgottenAttemptTickMs;
  }

  add(attempt: Attempt): void {
    this.#attempts.set(attempt.id, attempt);
  }

  /** Records that the attempt with this id has not run and never will. */
  markDead(id: string, nowMs: number): void {
    this.#dead.delete(id);
    this.#dead.set(id, nowMs);
    if (this.#dead.size > MAX_DEAD_IDS) this.#forgetOldestDead();
  }

  /** Records that the call to the engine has ended. */
  markEnded(attempt: Attempt, nowMs: number): void {
    this.#ended.set(attempt, nowMs);
    if (this.#ended.size > MAX_ENDED_ATTEMPTS) this.#forgetAttempt(this.#findForgettable(nowMs));
  }

  /** Removes records past their retention time, and responses above the byte limit. */
  prune(nowMs: number): void {
    this.#pruneDead(nowMs);
    this.#pruneEnded(nowMs);
    this.#enforceByteLimit(nowMs);
  }

  #pruneDead(nowMs: number): void {
    const [oldest] = this.#dead;
    if (!oldest || nowMs - oldest[1] <= this.#limits.tickLimitMs) return;
    this.#dead.delete(oldest[0]);
    this.#pruneDead(nowMs);
  }

  #pruneEnded(nowMs: number): void {
    this.#ended.forEach((endedAtMs, attempt) => {
      if (!this.#isPastRetention(endedAtMs, nowMs) || attempt.isWaiting(nowMs)) return;
      this.#forgetAttempt(attempt);
    });
  }

  #isPastRetention(endedAtMs: number, nowMs: number): boolean {
    return nowMs - endedAtMs > this.#limits.attemptKeptMs;
  }

  #forgetOldestDead(): void {
    const [oldest] = this.#dead;
    if (!oldest) return;
    this.#dead.delete(oldest[0]);
    this.#forgottenDeadTickMs = Math.max(this.#forgottenDeadTickMs, oldest[1]);
  }

  /** Oldest ended attempt that no session waits for; the oldest one if there are too many. */
  #findForgettable(nowMs: number): Attempt | undefined {
    const attempts = this.#ended.keys();
    for (let passed = 0; passed < MAX_PASSED_OVER; passed += 1) {
      const { value } = attempts.next();
      if (value && !value.isWaiting(nowMs)) return value;
    }
    const [oldest] = this.#ended.keys();
    return oldest;
  }

  #forgetAttempt(attempt: Attempt | undefined): void {
    if (!attempt) return;
    this.#ended.delete(attempt);
    this.#attempts.delete(attempt.id);
    attempt.discardResponse();
    this.#forgottenAttemptTickMs = Math.max(this.#forgottenAttemptTickMs, attempt.echoTickMs);
  }

  /**
   * Discards the oldest responses: first those sent in full, then those kept past the retention
   * time, then those without a session.
   */
  #enforceByteLimit(nowMs: number): void {
    const ended = [...this.#ended.keys()];
    let heldBytes = ended.reduce((sum, attempt) => sum + attempt.heldBytes, 0);
    if (heldBytes <= MAX_REPLAY_BYTES) return;
    const delivered = ended.filter((attempt) => attempt.isDelivered);
    const late = [...this.#ended]
      .filter(([, endedAtMs]) => this.#isPastRetention(endedAtMs, nowMs))
      .map(([attempt]) => attempt);
    const orphaned = ended.filter((attempt) => !attempt.session);
    [...delivered, ...late, ...orphaned].forEach((attempt) => {
      if (heldBytes <= MAX_REPLAY_BYTES) return;
      heldBytes -= attempt.heldBytes;
      attempt.discardResponse();
    });
  }
}
