/** Which workspace holds and wants how much of one pool in this entry. */
import { DecayingCount } from './decayingCount.js';
import type { WorkspaceClaim } from './workspaceClaim.js';

/**
 * Time after which a refused request counts for 1/e in the demand of its workspace, in
 * milliseconds: about as long as a request holds its slot, so that a rate of refusals counts for
 * the slots that it would hold.
 */
const REFUSED_DECAY_MS = 1_000;

/**
 * Time after which a refused request counts for 1/e among those for which slots are kept free, in
 * milliseconds. With 1,000 ms, 5 in 100 slots were idle at 1.2 times the capacity; with 100 ms,
 * workspaces below their share were on time less often.
 */
const PENDING_DECAY_MS = 200;

/** Decayed count below which refusals are forgotten. */
const REFUSED_MIN = 0.1;

/** A request as far as shares are concerned. */
export interface ClaimingRequest {
  readonly claim?: WorkspaceClaim | undefined;
  readonly priority: number;
  readonly isLate: boolean;
}

/** Requests of one priority that can be on time and wait, or were refused lately. */
interface PendingRequests {
  waiting: number;
  readonly refused: DecayingCount;
}

interface Usage {
  /** Load of the requests in flight. */
  inFlight: number;
  /** Load of the waiting requests. */
  waiting: number;
  /** Load of the requests refused lately. */
  readonly refused: DecayingCount;
  readonly pending: Map<number, PendingRequests>;
}

/** Use and unmet demand of one workspace, in units of the pool's usual request. */
export interface WorkspaceNeed {
  readonly workspace: string;
  readonly use: number;
  readonly want: number;
}

function createUsage(): Usage {
  return {
    inFlight: 0,
    waiting: 0,
    refused: new DecayingCount(REFUSED_DECAY_MS),
    pending: new Map(),
  };
}

function readRefused({ refused }: { readonly refused: DecayingCount }, nowMs: number): number {
  const count = refused.read(nowMs);
  return count < REFUSED_MIN ? 0 : count;
}

function findPending({ pending }: Usage, priority: number): PendingRequests {
  const known = pending.get(priority);
  if (known) return known;
  const requests = { waiting: 0, refused: new DecayingCount(PENDING_DECAY_MS) };
  pending.set(priority, requests);
  return requests;
}

/** Usage of one pool; only workspaces with recent requests take memory. */
export class WorkspaceUsage {
  readonly #usages = new Map<string, Usage>();

  /** Load that a workspace holds. */
  readUse(workspace: string): number {
    return this.#usages.get(workspace)?.inFlight ?? 0;
  }

  addInFlight({ workspace, load }: WorkspaceClaim, change: 1 | -1): void {
    this.#find(workspace).inFlight += change * load;
  }

  addWaiting({ claim, priority, isLate }: ClaimingRequest, change: 1 | -1): void {
    if (!claim) return;
    const usage = this.#find(claim.workspace);
    usage.waiting += change * claim.load;
    if (!isLate) findPending(usage, priority).waiting += change;
  }

  noteRefused({ claim, priority, isLate }: ClaimingRequest, nowMs: number): void {
    if (!claim) return;
    const usage = this.#find(claim.workspace);
    usage.refused.add(claim.load, nowMs);
    if (!isLate) findPending(usage, priority).refused.add(1, nowMs);
  }

  /** Lists the workspaces that hold or want anything, and forgets the others. */
  list(nowMs: number): readonly WorkspaceNeed[] {
    const needs = [...this.#usages].map(([workspace, usage]) => ({
      workspace,
      use: usage.inFlight,
      want: usage.waiting + readRefused(usage, nowMs),
    }));
    needs
      .filter(({ use, want }) => use === 0 && want === 0)
      .forEach(({ workspace }) => this.#usages.delete(workspace));
    return needs.filter(({ use, want }) => use > 0 || want > 0);
  }

  /**
   * Counts requests that can be on time and wait, or were refused lately, by priority.
   *
   * @param isCounted whether the requests of a workspace are counted
   */
  countPending(
    isCounted: (workspace: string) => boolean,
    nowMs: number,
  ): ReadonlyMap<number, number> {
    const counts = new Map<number, number>();
    this.#usages.forEach(({ pending }, workspace) => {
      if (pending.size === 0 || !isCounted(workspace)) return;
      pending.forEach((requests, priority) => {
        const count = requests.waiting + readRefused(requests, nowMs);
        if (count > 0) counts.set(priority, (counts.get(priority) ?? 0) + count);
      });
    });
    return new Map([...counts].map(([priority, count]) => [priority, Math.ceil(count)]));
  }

  #find(workspace: string): Usage {
    const known = this.#usages.get(workspace);
    if (known) return known;
    const usage = createUsage();
    this.#usages.set(workspace, usage);
    return usage;
  }
}
