/**
 * Work left at one upstream: of this entry's attempts exactly, of its peers' as they told it.
 *
 * A peer's part is aged between messages: each step takes the time that its requests add to it off
 * the decoding that was left. What a peer that has stopped sending had left thus fades, until its
 * part is dropped with its counts.
 */
import type { WorkNews } from '../../messages/workMessage.js';

import type { AttemptWork } from './attemptWork.js';
import { addWork, ageDecoding, fadePrefill, NO_WORK } from './workLeft.js';
import type { PassClock, WorkLeft } from './workLeft.js';

const US_PER_MS = 1_000;

interface PeerPart extends WorkLeft {
  readonly atMs: number;
}

/** Work of all entries at one upstream. */
export class UpstreamWork {
  readonly #own = new Set<AttemptWork>();

  readonly #byPeer = new Map<string, PeerPart>();

  /** Number of this entry's attempts with known work. */
  get ownCount(): number {
    return this.#own.size;
  }

  /** Calls a function with each entry that has told its part. */
  forEachPeer(visit: (entry: string) => void): void {
    this.#byPeer.forEach((_, entry) => visit(entry));
  }

  begin(attempt: AttemptWork): void {
    this.#own.add(attempt);
  }

  end(attempt: AttemptWork): void {
    this.#own.delete(attempt);
  }

  /** Applies a peer's part. */
  setPeer(entry: string, [prefillMs, decodeMs, stepUs]: WorkNews, nowMs: number): void {
    if (stepUs === 0) this.#byPeer.delete(entry);
    else this.#byPeer.set(entry, { prefillMs, decodeMs, stepMs: stepUs / US_PER_MS, atMs: nowMs });
  }

  removePeer(entry: string): void {
    this.#byPeer.delete(entry);
  }

  /** Work of all entries that tell it. */
  readLeft(clock: PassClock): WorkLeft {
    let sum = this.#readOwn(clock);
    this.#byPeer.forEach((part) => {
      const prefillMs = fadePrefill(part.prefillMs, part.atMs, clock);
      const decodeMs = ageDecoding(part, part.atMs, clock);
      sum = addWork(sum, { prefillMs, decodeMs, stepMs: part.stepMs });
    });
    return sum;
  }

  /** Work of this entry's attempts as its peers are told. */
  describeOwn(clock: PassClock): WorkNews {
    const { prefillMs, decodeMs, stepMs } = this.#readOwn(clock);
    return [Math.round(prefillMs), Math.round(decodeMs), Math.round(stepMs * US_PER_MS)];
  }

  #readOwn(clock: PassClock): WorkLeft {
    let sum = NO_WORK;
    this.#own.forEach((attempt) => {
      sum = addWork(sum, attempt.readLeft(clock));
    });
    return sum;
  }
}
