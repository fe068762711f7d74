/**
 * Determines whether a version of a configuration object is in force on all processes.
 *
 * Only entries start work. A version is therefore in force once each entry has confirmed it or can
 * no longer hold a valid configuration lease without it:
 * - renewals of that lease by the platform end one lease time after the version was accepted;
 * - renewals by peers need a majority, and a majority that includes a process with the version
 *   cannot confirm an older one. If the missing entries are too few to form such a majority among
 *   themselves, their leases end one lease time after this was observed here.
 * Requests that they sent before that are refused by the side processes after the tick limit.
 */
import type { EntryBoard } from '../state/entryBoard.js';
import { Deadline } from '../lease/deadline.js';
import { countPeersForMajority } from '../membership/configLease.js';
import { createEntryStatus, type EntryStatus } from '../membership/entryStatus.js';
import { FULL_MESH_PEERS, DIALLED_PEERS } from '../membership/peerLinks.js';
import type { Registration } from '../membership/registry.js';
import type { MissingProcess } from '../model/order.js';
import type { Timing } from '../model/timing.js';

/** Allowance for clocks that run at different rates. */
const CLOCK_MARGIN_MS = 100;

/** Largest number of waits that are remembered. */
const WAITS_MAX = 1_000;

/** Registrations and statuses of the entries by name, as read from the store. */
export interface FleetView {
  readonly registrations: ReadonlyMap<string, Registration>;
  readonly statuses: ReadonlyMap<string, EntryStatus>;
}

/** Result of the check of one version. */
export interface InForceResult {
  readonly isInForce: boolean;
  readonly inForceOn: number;
  readonly of: number;
  readonly missing: readonly MissingProcess[];
}

/** What this entry knows about one entry. */
interface EntryView {
  readonly name: string;
  readonly revision: number;
  readonly sidesRevision: number;
  readonly sidesBehind: EntryStatus['sidesBehind'];
  readonly isConnected: boolean;
}

export interface InForceCheckOptions {
  readonly board: EntryBoard;
  readonly timing: Timing;
}

/** Number of peers that any one entry needs for a majority together with itself. */
function countMajorityPeers(entryCount: number): number {
  const peers = entryCount - 1;
  return countPeersForMajority(peers <= FULL_MESH_PEERS ? peers : DIALLED_PEERS);
}

function listSidesBehind(
  entries: readonly EntryView[],
  version: number,
): readonly MissingProcess[] {
  const behind = entries.filter(
    (entry) => entry.revision >= version && entry.sidesRevision < version,
  );
  const reasons = new Map<string, string>();
  behind.forEach((entry) => {
    if (entry.sidesBehind.length === 0) {
      reasons.set(`side processes of ${entry.name}`, 'not confirmed yet');
    }
    entry.sidesBehind.forEach(({ name, why }) => reasons.set(name, why));
  });
  return [...reasons.entries()].map(([process, why]) => ({ process, why }));
}

/**
 * Checks versions, and remembers when the processes that miss a version can no longer act on an
 * older one.
 */
export class InForceCheck {
  readonly #board: EntryBoard;

  readonly #timing: Timing;

  /** When the waits for missing entries and for side processes end, by kind and version. */
  readonly #waitDeadlines = new Map<string, Deadline>();

  constructor(options: InForceCheckOptions) {
    this.#board = options.board;
    this.#timing = options.timing;
  }

  /** Checks an accepted version against the latest known state of all processes. */
  check(version: number, fleet: FleetView): InForceResult {
    const entries = this.#listEntries(fleet);
    const missingEntries = entries.filter((entry) => entry.revision < version);
    const sides = listSidesBehind(entries, version);
    const missing = [...missingEntries.map((entry) => this.#describe(entry)), ...sides];
    const of = entries.length + this.#board.upstreams.size;
    return {
      isInForce: this.#isInForce(version, entries.length, missingEntries.length, sides.length > 0),
      inForceOn: of - missing.length,
      of,
      missing,
    };
  }

  #isInForce(
    version: number,
    entryCount: number,
    missingCount: number,
    areSidesBehind: boolean,
  ): boolean {
    const { configLeaseMs, tickLimitMs } = this.#timing;
    if (missingCount === 0) {
      if (!areSidesBehind) return true;
      return this.#hasWaited(`sides ${version}`, tickLimitMs + CLOCK_MARGIN_MS);
    }
    const otherMissingCount = missingCount - 1;
    if (otherMissingCount >= countMajorityPeers(entryCount)) return false;
    return this.#hasWaited(`entries ${version}`, configLeaseMs + tickLimitMs + CLOCK_MARGIN_MS);
  }

  #hasWaited(key: string, spanMs: number): boolean {
    const end = this.#waitDeadlines.get(key);
    if (end) return end.isPast;
    this.#waitDeadlines.set(key, Deadline.after(spanMs));
    if (this.#waitDeadlines.size > WAITS_MAX) {
      const [oldest] = this.#waitDeadlines.keys();
      if (oldest !== undefined) this.#waitDeadlines.delete(oldest);
    }
    return false;
  }

  #listEntries(fleet: FleetView): readonly EntryView[] {
    const names = new Set([
      this.#board.name,
      ...fleet.registrations.keys(),
      ...this.#board.peers.keys(),
    ]);
    return [...names].map((name) => this.#createView(name, fleet));
  }

  #createView(name: string, fleet: FleetView): EntryView {
    if (name === this.#board.name) {
      const own = createEntryStatus(this.#board, this.#timing, Date.now());
      return { ...own, name, revision: own.appliedRevision, isConnected: true };
    }
    const incarnation = fleet.registrations.get(name)?.incarnation;
    const written = fleet.statuses.get(name);
    const status = written?.incarnation === incarnation ? written : undefined;
    const peer = this.#board.peers.get(name);
    const isPeerConnected =
      peer?.link !== undefined && peer.incarnation === (incarnation ?? peer.incarnation);
    const peerRevision = isPeerConnected ? peer.configRevision : 0;
    return {
      name,
      revision: Math.max(status?.appliedRevision ?? 0, peerRevision),
      sidesRevision: status?.sidesRevision ?? 0,
      sidesBehind: status?.sidesBehind ?? [],
      isConnected: isPeerConnected,
    };
  }

  #describe(entry: EntryView): MissingProcess {
    const revision = entry.revision > 0 ? `at revision ${entry.revision}` : 'no confirmed revision';
    const connection = entry.isConnected ? 'heard' : `not heard by ${this.#board.name}`;
    return { process: entry.name, why: `${revision}, ${connection}` };
  }
}
