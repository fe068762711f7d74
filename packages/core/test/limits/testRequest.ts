/** A test's view of one request that asks for admission. */
import type { AdmissionPermit } from '../../src/limits/admissionPolicy.js';
import type { Refusal } from '../../src/model/reason.js';

/** State of a request: waiting, admitted or refused. */
export class TestRequest {
  readonly workspace: string;

  readonly enteredAtMs = Date.now();

  readonly abort = new AbortController();

  startedAtMs: number | undefined;

  refusedAtMs: number | undefined;

  refusal: Refusal | undefined;

  permit: AdmissionPermit | undefined;

  constructor(workspace: string) {
    this.workspace = workspace;
  }

  get isWaiting(): boolean {
    return this.startedAtMs === undefined && this.refusedAtMs === undefined;
  }

  get waitMs(): number {
    return (this.startedAtMs ?? Number.NaN) - this.enteredAtMs;
  }
}
