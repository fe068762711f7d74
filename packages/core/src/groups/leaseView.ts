/** Read access to a lease, as a coordinator needs it. */

/** A lease as seen by its holder. */
export interface LeaseView {
  /** Rises with every new holder; 0 if this process does not hold the lease. */
  readonly fencingNumber: number;
  /** Whether the lease is held, by the holder's own clock. */
  readonly isHeld: (nowMs: number) => boolean;
}
