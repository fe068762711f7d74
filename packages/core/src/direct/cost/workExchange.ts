/**
 * Tells the peers how much work this entry has left at upstreams, and applies what they tell.
 *
 * A start, a first output and an end are told with the next batch. Progress between them is told
 * with full counts only, as the receiver ages the work by itself.
 */
import type { DirectUpstream } from '../directUpstream.js';
import { PeerState, type CountsFields, type CountsMessage } from '../peerState.js';

import type { RequestCost } from './requestCost.js';
import { AttemptWork } from './attemptWork.js';

function describe(upstreams: Iterable<DirectUpstream>): CountsFields {
  return {
    work: Object.fromEntries([...upstreams].map(({ id, work }) => [id, work.describeOwn()])),
  };
}

/** Work left at all upstreams, exchanged among entries. */
export class WorkExchange extends PeerState {
  readonly #findUpstream: (id: string) => DirectUpstream | undefined;

  /** Upstreams with work of this entry. */
  readonly #active = new Set<DirectUpstream>();

  readonly #changed = new Set<DirectUpstream>();

  /** Upstreams with work of a peer. */
  readonly #byPeer = new Map<string, Set<DirectUpstream>>();

  constructor(findUpstream: (id: string) => DirectUpstream | undefined) {
    super();
    this.#findUpstream = findUpstream;
  }

  /** @param earlierEvents events that earlier attempts at the request have given */
  begin(upstream: DirectUpstream, cost: RequestCost, earlierEvents: number): AttemptWork {
    const attempt = new AttemptWork(cost, earlierEvents);
    upstream.work.begin(attempt);
    this.#active.add(upstream);
    this.#noteChanged(upstream);
    return attempt;
  }

  noteFirstOutput(upstream: DirectUpstream, attempt: AttemptWork): void {
    attempt.noteFirstOutput();
    this.#noteChanged(upstream);
  }

  end(upstream: DirectUpstream, attempt: AttemptWork): void {
    upstream.work.end(attempt);
    if (upstream.work.isIdle) this.#active.delete(upstream);
    this.#noteChanged(upstream);
  }

  override readFull(): CountsFields {
    return describe([...this.#active].filter((upstream) => this.#isKnown(upstream)));
  }

  override takeChanges(): CountsFields | undefined {
    if (this.#changed.size === 0) return undefined;
    const changed = [...this.#changed].filter((upstream) => this.#isKnown(upstream));
    this.#changed.clear();
    return describe(changed);
  }

  override apply({ entry, isFull, work }: CountsMessage, nowMs: number): void {
    if (isFull) this.dropPeer(entry);
    if (!work) return;
    const upstreams = this.#byPeer.get(entry) ?? new Set();
    this.#byPeer.set(entry, upstreams);
    Object.entries(work).forEach(([id, news]) => {
      const upstream = this.#findUpstream(id);
      if (!upstream) return;
      upstream.work.setPeer(entry, news, nowMs);
      upstreams.add(upstream);
    });
  }

  override dropPeer(entry: string): void {
    this.#byPeer.get(entry)?.forEach(({ work }) => work.setPeer(entry, undefined, 0));
    this.#byPeer.delete(entry);
  }

  /** Attempts can outlive the registry's entry of the incarnation that they run on. */
  #isKnown(upstream: DirectUpstream): boolean {
    return this.#findUpstream(upstream.id) === upstream;
  }

  #noteChanged(upstream: DirectUpstream): void {
    this.#changed.add(upstream);
    this.noteChange();
  }
}
