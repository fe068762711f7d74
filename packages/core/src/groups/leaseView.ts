/** What a coordinator needs to know of its lease. */

/** A lease as its holder sees it. */
export interface LeaseView {
  /** Rises with every holder; 0 where it was never held. */
  readonly fencingNumber: number;
  /** Whether it is held, by the holder's own clock. */
  readonly isHeld: (nowMs: number) => boolean;
}
