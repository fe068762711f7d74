/** Admission that lets everything in at once, to measure against. */
import { AdmissionPolicy, type AdmissionPermit } from '@radishbay/core/limits/admissionPolicy.js';
import type { Refusal } from '@radishbay/core/model/reason.js';
import { Ok, type Result } from '@radishbay/core/outcome.js';

const PERMIT: AdmissionPermit = { release: () => {} };

/** Lets everything in. */
export class OpenAdmission extends AdmissionPolicy {
  override enter(): Promise<Result<AdmissionPermit, Refusal>> {
    return Promise.resolve(Ok(PERMIT));
  }

  override setInFlightLimit(): void {}

  override countWaiting(): number {
    return 0;
  }

  override countInFlight(): number {
    return 0;
  }

  override observeService(): void {}
}
