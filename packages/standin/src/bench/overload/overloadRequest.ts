/** One request of the overload bench on its way through one entry. */
import type { AdmissionPermit, AdmissionPolicy } from '@radishbay/core/limits/admissionPolicy.js';
import { Outcome, type Refusal } from '@radishbay/core/model/reason.js';
import { RetryHistory } from '@radishbay/core/retry/retryHistory.js';
import type { RetryPolicy } from '@radishbay/core/retry/retryPolicy.js';
import type { RoutingPolicy, RoutingQuery } from '@radishbay/core/routing/routingPolicy.js';
import { countEnded, countSent } from '@radishbay/core/routing/upstreamState.js';
import type { EntryBoard } from '@radishbay/core/state/entryBoard.js';

import { BENCH_POOL } from '../routing/benchBoard.js';
import type { ModelUpstream } from '../routing/modelUpstream.js';
import type { BenchRequest } from '../routing/workload.js';

export const DEADLINE_MS = 10_000;

const WAY_MS = 1;

const QUEUE_LIMIT = 1_000;

const CLASS_NAME = 'draft';

const RETRY_SHARE = 0.1;

/** What an entry decides with. */
export interface OverloadEntry {
  readonly board: EntryBoard;
  readonly routing: RoutingPolicy;
  readonly admission: AdmissionPolicy;
  readonly retries: RetryPolicy;
  readonly upstreams: ReadonlyMap<string, ModelUpstream>;
  /** Called whenever the room of the pool may have changed. */
  readonly updateRoom: () => void;
}

/** How a request ended. */
export interface OverloadEnd {
  readonly isAnswered: boolean;
  /** When the client is told to come back; 0 where it is not told. */
  readonly retryAfterMs: number;
}

/** One request. */
export class OverloadRequest {
  readonly #entry: OverloadEntry;

  readonly #work: BenchRequest;

  readonly #onEnd: (end: OverloadEnd) => void;

  readonly #ledger: RetryHistory;

  readonly #abort = new AbortController();

  readonly #deadlineAtMs = Date.now() + DEADLINE_MS;

  readonly #timer = setTimeout(() => this.#end(false, 0), DEADLINE_MS);

  #permit: AdmissionPermit | undefined;

  #permitAtMs = 0;

  #cancel: (() => void) | undefined;

  #isEnded = false;

  constructor(entry: OverloadEntry, work: BenchRequest, onEnd: (end: OverloadEnd) => void) {
    this.#entry = entry;
    this.#work = work;
    this.#onEnd = onEnd;
    this.#ledger = new RetryHistory(entry.retries);
  }

  /** Starts the request; it ends by itself. */
  async start(id: string, workspace: string): Promise<void> {
    this.#entry.retries.noteRequest(Date.now());
    const turn = await this.#entry.admission.enter({
      requestId: id,
      pool: BENCH_POOL,
      className: CLASS_NAME,
      workspace,
      weight: 1,
      priority: 5,
      deadlineAtMs: this.#deadlineAtMs,
      queueLimit: QUEUE_LIMIT,
      signal: this.#abort.signal,
    });
    if (!turn.ok) {
      this.#refuse(turn.val);
      return;
    }
    this.#permit = turn.val;
    this.#permitAtMs = Date.now();
    if (this.#isEnded) this.#permit.release();
    else this.#tryUpstream(0);
  }

  #tryUpstream(hintMs: number): void {
    if (this.#isEnded) return;
    const { routing, board } = this.#entry;
    const query = this.#createQuery();
    const choice = routing.choose(board, query, Date.now());
    const upstream = choice.ok ? this.#entry.upstreams.get(choice.val) : undefined;
    if (upstream) this.#send(upstream, query);
    else if (!choice.ok) this.#tryLater(hintMs, choice.val);
  }

  #tryLater(hintMs: number, refusal: Refusal): void {
    const hasRefusals = this.#ledger.excludedUpstreams.size > 0;
    const delayMs = this.#ledger.startNextRound(hintMs);
    if (!hasRefusals || Date.now() + delayMs >= this.#deadlineAtMs) this.#refuse(refusal);
    else setTimeout(() => this.#tryUpstream(0), delayMs);
  }

  #send(upstream: ModelUpstream, query: RoutingQuery): void {
    const { board, routing } = this.#entry;
    countSent(board, upstream.name);
    routing.markSent(board, upstream.name, query);
    setTimeout(() => this.#arriveAt(upstream), WAY_MS);
  }

  #arriveAt(upstream: ModelUpstream): void {
    const { board } = this.#entry;
    const onEnd = () => {
      this.#cancel = undefined;
      setTimeout(() => {
        countEnded(board, upstream.name);
        this.#end(true, 0);
      }, WAY_MS);
    };
    if (this.#isEnded) {
      countEnded(board, upstream.name);
      return;
    }
    const cancel = upstream.submit(this.#work, { onToken: () => {}, onEnd });
    if (!cancel) {
      setTimeout(() => this.#readGateRefusal(upstream), WAY_MS);
      return;
    }
    this.#cancel = () => {
      cancel();
      countEnded(board, upstream.name);
    };
  }

  #readGateRefusal({ name, domain }: ModelUpstream): void {
    countEnded(this.#entry.board, name);
    const failed = { upstream: name, domain, outcome: Outcome.NotRun as const };
    const state = { isRepeatable: true, isCommitted: false, isGateRefusal: true };
    const decision = this.#ledger.decide({ ...failed, ...state }, RETRY_SHARE, Date.now());
    if (decision.ok) this.#tryUpstream(0);
    else this.#end(false, 1_000);
  }

  #createQuery(): RoutingQuery {
    return {
      pool: BENCH_POOL,
      model: undefined,
      prefixHashes: this.#work.prefixHashes,
      excludedUpstreams: this.#ledger.excludedUpstreams,
      avoidedDomains: this.#ledger.avoidedDomains,
      remainingMs: this.#deadlineAtMs - Date.now(),
      isRepeatable: true,
    };
  }

  #refuse(refusal: Refusal): void {
    this.#end(false, refusal.retryAfterMs);
  }

  #end(isAnswered: boolean, retryAfterMs: number): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    clearTimeout(this.#timer);
    if (this.#permit && (isAnswered || retryAfterMs === 0)) {
      const serviceMs = Date.now() - this.#permitAtMs;
      this.#entry.admission.observeService(BENCH_POOL, CLASS_NAME, serviceMs);
    }
    this.#cancel?.();
    this.#abort.abort();
    this.#permit?.release();
    this.#entry.updateRoom();
    this.#onEnd({ isAnswered, retryAfterMs });
  }
}
