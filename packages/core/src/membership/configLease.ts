/**
 * The configuration lease: an entry may begin new work only while its configuration is proved
 * recent.
 *
 * Two kinds of proof renew the lease. Each counts from the time at which the proof was requested:
 * - The platform answered a call, or a peer has such a proof and holds no newer configuration.
 * - A majority of the known entries, this one included, hold no newer configuration. While the
 *   platform is down for all entries, no change can be accepted, so they continue with the
 *   configuration that they have.
 * Expiry is checked at the time of use by {@link EntryBoard.isCurrent}.
 */
import { Deadline } from '../lease/deadline.js';
import type { EntryBoard } from '../state/entryBoard.js';

export interface ConfigLeaseOptions {
  readonly board: EntryBoard;
  /** Duration of the lease, counted from the time at which a proof was requested. */
  readonly configLeaseMs: number;
}

/** Proof of recency that one heartbeat of a peer carries. */
export interface PeerProof {
  readonly peer: string;
  readonly configRevision: number;
  /** Age of the peer's own proof from the platform; undefined if it has none. */
  readonly confirmedAgeMs: number | undefined;
  /** End of a lease that began when this entry sent the tick that the peer echoed. */
  readonly leaseEnd: Deadline;
}

/**
 * Number of other entries that form a majority together with this one.
 *
 * @param others number of other known entries
 */
export function countPeersForMajority(others: number): number {
  return Math.floor((others + 1) / 2);
}

/** Maintains {@link EntryBoard.configLeaseDeadline} from proofs of the platform and of peers. */
export class ConfigLease {
  readonly #board: EntryBoard;

  readonly #leaseMs: number;

  readonly #peerLeaseEnds = new Map<string, Deadline>();

  /** Peers that count towards the majority. */
  #peers: ReadonlySet<string> = new Set();

  #platformConfirmedUntil: Deadline | undefined;

  /**
   * Orders wait only for registered entries, so a proof from the platform counts only while this
   * entry is registered.
   */
  #registeredUntil: Deadline | undefined;

  /** Whether all peers are known: an entry that knows of none yet may still have peers. */
  #arePeersKnown = false;

  constructor(options: ConfigLeaseOptions) {
    this.#board = options.board;
    this.#leaseMs = options.configLeaseMs;
    this.#board.configLeaseDeadline = Deadline.after(0);
    this.#board.isCurrent = true;
  }

  /** Age of the latest proof from the platform, in ms; undefined once its lease has expired. */
  get confirmedAgeMs(): number | undefined {
    const remainingMs = this.#platformConfirmedUntil?.remainingMs ?? 0;
    return remainingMs > 0 ? this.#leaseMs - remainingMs : undefined;
  }

  /** Renews the lease by a proof from the platform that is valid until a deadline. */
  renew(until: Deadline): void {
    if (this.#platformConfirmedUntil && !until.isAfter(this.#platformConfirmedUntil)) return;
    this.#platformConfirmedUntil = until;
    this.#updateLease();
  }

  /** Records that this incarnation is registered, which is valid until a deadline. */
  confirmRegistration(until: Deadline): void {
    this.#registeredUntil = until;
    this.#updateLease();
  }

  /**
   * Sets the peers that count towards the majority, and recomputes the lease.
   *
   * @param isComplete whether these are all the peers that this entry should have
   */
  setPeers(peers: ReadonlySet<string>, isComplete: boolean): void {
    this.#peers = peers;
    this.#arePeersKnown = isComplete;
    [...this.#peerLeaseEnds.keys()]
      .filter((peer) => !peers.has(peer))
      .forEach((peer) => this.#peerLeaseEnds.delete(peer));
    this.#updateLease();
  }

  /** Records a peer's proof; a peer with a newer configuration than this entry proves nothing. */
  addPeerProof(proof: PeerProof): void {
    if (!this.#peers.has(proof.peer)) return;
    if (proof.configRevision > this.#board.config.revision) return;
    const { leaseEnd } = proof;
    const held = this.#peerLeaseEnds.get(proof.peer);
    if (!held || leaseEnd.isAfter(held)) this.#peerLeaseEnds.set(proof.peer, leaseEnd);
    if (proof.confirmedAgeMs !== undefined) this.renew(leaseEnd.shift(-proof.confirmedAgeMs));
    this.#updateLease();
  }

  #updateLease(): void {
    const leaseEnds = [this.#findPlatformLeaseEnd(), this.#findMajorityLeaseEnd()].filter(
      (end) => end !== undefined,
    );
    const [latest] = leaseEnds.sort((one, other) => (one.isAfter(other) ? -1 : 1));
    this.#board.configLeaseDeadline = latest ?? Deadline.after(0);
  }

  /** @returns end of the lease from the platform; undefined without proof or registration */
  #findPlatformLeaseEnd(): Deadline | undefined {
    if (!this.#platformConfirmedUntil || !this.#registeredUntil) return undefined;
    const isRegistrationLater = this.#registeredUntil.isAfter(this.#platformConfirmedUntil);
    return isRegistrationLater ? this.#platformConfirmedUntil : this.#registeredUntil;
  }

  /** @returns end of the lease from a majority of the entries; undefined without a majority */
  #findMajorityLeaseEnd(): Deadline | undefined {
    if (!this.#arePeersKnown) return undefined;
    const needed = countPeersForMajority(this.#peers.size);
    if (needed === 0) return Deadline.after(this.#leaseMs);
    const leaseEnds = [...this.#peerLeaseEnds.values()]
      .filter((until) => !until.isPast)
      .sort((one, other) => (one.isAfter(other) ? -1 : 1));
    return leaseEnds[needed - 1];
  }
}
