/**
 * Work left at one upstream: of this entry's attempts exactly, of its peers' as they told it.
 *
 * A peer's part is aged between messages: each step takes the time that its requests add to it off
 * the decoding that was left. What a peer that has stopped sending had left thus fades, until its
 * part is dropped with its counts.
 */
import type { WorkNews } from '../../messages/workMessage.js';

import type { AttemptWork } from './attemptWork.js';
import { addWork, NO_WORK, type WorkLeft } from './workLeft.js';

const US_PER_MS = 1_000;

interface PeerPart extends WorkLeft {
  readonly atMs: number;
}

function age(part: PeerPart, nowMs: number, stepsPerMs: number): WorkLeft {
  const doneMs = Math.max(0, nowMs - part.atMs) * stepsPerMs * part.stepMs;
  return { ...part, decodeMs: Math.max(0, part.decodeMs - doneMs) };
}

/** Work of all entries at one upstream. */
export class UpstreamWork {
  readonly #own = new Set<AttemptWork>();

  readonly #byPeer = new Map<string, PeerPart>();

  get isIdle(): boolean {
    return this.#own.size === 0;
  }

  /** Number of this entry's attempts with known work. */
  get ownCount(): number {
    return this.#own.size;
  }

  /** Entries that have told their part. */
  get peers(): { readonly forEach: (visit: (entry: string) => void) => void } {
    return { forEach: (visit) => this.#byPeer.forEach((_, entry) => visit(entry)) };
  }

  begin(attempt: AttemptWork): void {
    this.#own.add(attempt);
  }

  end(attempt: AttemptWork): void {
    this.#own.delete(attempt);
  }

  /** Applies a peer's part; undefined removes it. */
  setPeer(entry: string, news: WorkNews | undefined, nowMs: number): void {
    if (!news) {
      this.#byPeer.delete(entry);
      return;
    }
    const [prefillMs, decodeMs, stepUs] = news;
    this.#byPeer.set(entry, { prefillMs, decodeMs, stepMs: stepUs / US_PER_MS, atMs: nowMs });
  }

  /** Work of this entry's attempts. */
  get own(): WorkLeft {
    let sum = NO_WORK;
    this.#own.forEach(({ left }) => {
      sum = addWork(sum, left);
    });
    return sum;
  }

  /** Work of the peers that tell it. */
  readPeers(nowMs: number, stepsPerMs: number): WorkLeft {
    let sum = NO_WORK;
    this.#byPeer.forEach((part) => {
      sum = addWork(sum, age(part, nowMs, stepsPerMs));
    });
    return sum;
  }

  /** Work of this entry's attempts as its peers are told. */
  describeOwn(): WorkNews {
    const { prefillMs, decodeMs, stepMs } = this.own;
    return [Math.round(prefillMs), Math.round(decodeMs), Math.round(stepMs * US_PER_MS)];
  }
}
