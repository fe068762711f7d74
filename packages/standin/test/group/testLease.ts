/** Lease whose ownership a test sets. */
export class TestLease {
  isOwned = true;

  readonly fencingNumber: number;

  constructor(fencingNumber: number) {
    this.fencingNumber = fencingNumber;
  }

  isHeld(): boolean {
    return this.isOwned;
  }
}
