/** A lease that a test gives and takes. */
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
