/**
 * The right of an entry to begin new work, which lapses unless its configuration is proved recent.
 *
 * Two proofs renew it, each from the moment to which it reaches back:
 * - the platform answered a call that began then, or a peer has such a proof and holds nothing
 *   newer;
 * - a majority of the known entries, this one included, hold nothing newer: in an outage of the
 *   platform for all, nothing can be accepted, and they go on with what they have.
 * The lease is judged at the moment of use by {@link EntryBoard.isCurrent}.
 */
import { Deadline } from '../lease/deadline.js';
import type { EntryBoard } from '../state/entryBoard.js';

export interface ConfigLeaseOptions {
  readonly board: EntryBoard;
  /** Length of the lease from the moment to which a proof reaches back. */
  readonly configLeaseMs: number;
}

/** What one heartbeat of a peer proves. */
export interface PeerProof {
  readonly peer: string;
  readonly configRevision: number;
  /** Age of the peer's own proof by the platform; undefined where it has none. */
  readonly confirmedAgeMs: number | undefined;
  /** End of a lease from the moment when this entry sent the tick that the peer echoed. */
  readonly leaseEnd: Deadline;
}

/**
 * Number of other entries whose word is needed, so that they and this one are a majority.
 *
 * @param others number of other entries that are known
 */
export function countNeededPeers(others: number): number {
  return Math.floor((others + 1) / 2);
}

/** Keeps {@link EntryBoard.currentUntil}. */
export class ConfigLease {
  readonly #board: EntryBoard;

  readonly #leaseMs: number;

  readonly #peerLeaseEnds = new Map<string, Deadline>();

  /** Peers of which a majority is needed. */
  #peers: ReadonlySet<string> = new Set();

  #platformConfirmedUntil: Deadline | undefined;

  /** Orders wait for entries in the registry only: outside it the platform proves nothing. */
  #registeredUntil: Deadline | undefined;

  /** Whether the peers are known: who has not heard of any yet is not alone for that. */
  #arePeersKnown = false;

  constructor(options: ConfigLeaseOptions) {
    this.#board = options.board;
    this.#leaseMs = options.configLeaseMs;
    this.#board.currentUntil = Deadline.after(0);
    this.#board.isCurrent = true;
  }

  /** Age of the latest proof by the platform; undefined once the lease from it has lapsed. */
  get confirmedAgeMs(): number | undefined {
    const remainingMs = this.#platformConfirmedUntil?.remainingMs ?? 0;
    return remainingMs > 0 ? this.#leaseMs - remainingMs : undefined;
  }

  /** Takes in a proof by the platform that holds until a deadline. */
  confirmByPlatform(until: Deadline): void {
    if (this.#platformConfirmedUntil && !until.isAfter(this.#platformConfirmedUntil)) return;
    this.#platformConfirmedUntil = until;
    this.#updateLease();
  }

  /** Notes that this incarnation stands in the registry, which holds until a deadline. */
  confirmRegistration(until: Deadline): void {
    this.#registeredUntil = until;
    this.#updateLease();
  }

  /**
   * Names the peers of which a majority is needed, and judges it anew.
   *
   * @param isComplete whether these are all peers that this entry should have
   */
  setPeers(peers: ReadonlySet<string>, isComplete: boolean): void {
    this.#peers = peers;
    this.#arePeersKnown = isComplete;
    [...this.#peerLeaseEnds.keys()]
      .filter((peer) => !peers.has(peer))
      .forEach((peer) => this.#peerLeaseEnds.delete(peer));
    this.#updateLease();
  }

  /** Takes in what a peer's heartbeat proves; one that holds something newer proves nothing. */
  addPeerProof(proof: PeerProof): void {
    if (!this.#peers.has(proof.peer)) return;
    if (proof.configRevision > this.#board.config.revision) return;
    const { leaseEnd: until } = proof;
    const held = this.#peerLeaseEnds.get(proof.peer);
    if (!held || until.isAfter(held)) this.#peerLeaseEnds.set(proof.peer, until);
    if (proof.confirmedAgeMs !== undefined)
      this.confirmByPlatform(until.shift(-proof.confirmedAgeMs));
    this.#updateLease();
  }

  #updateLease(): void {
    const ends = [this.#findPlatformLeaseEnd(), this.#findMajorityLeaseEnd()].filter(
      (end) => end !== undefined,
    );
    const [latest] = ends.sort((one, other) => (one.isAfter(other) ? -1 : 1));
    this.#board.currentUntil = latest ?? Deadline.after(0);
  }

  /** @returns deadline up to which the platform proves; undefined where it does not */
  #findPlatformLeaseEnd(): Deadline | undefined {
    if (!this.#platformConfirmedUntil || !this.#registeredUntil) return undefined;
    const isRegistrationLater = this.#registeredUntil.isAfter(this.#platformConfirmedUntil);
    return isRegistrationLater ? this.#platformConfirmedUntil : this.#registeredUntil;
  }

  /** @returns deadline up to which a majority has confirmed; undefined where there is none */
  #findMajorityLeaseEnd(): Deadline | undefined {
    if (!this.#arePeersKnown) return undefined;
    const needed = countNeededPeers(this.#peers.size);
    if (needed === 0) return Deadline.after(this.#leaseMs);
    const ends = [...this.#peerLeaseEnds.values()]
      .filter((until) => !until.isPast)
      .sort((one, other) => (one.isAfter(other) ? -1 : 1));
    return ends[needed - 1];
  }
}
