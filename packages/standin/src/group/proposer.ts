/** The processes that give orders to a stand-in group, and what can befall them. */
import { FaultKind, type Fault } from './eventFaults.js';

/** The process at the sending end. */
export interface Proposer {
  readonly isDead: boolean;
  readonly frozenUntilMs: number;
  /** Kills or freezes it. */
  readonly strike: (fault: Fault) => void;
}

/** A coordinating process, which stays dead once it is killed. */
export class CoordinatorProcess implements Proposer {
  isDead = false;

  frozenUntilMs = 0;

  strike(fault: Fault): void {
    if (fault.kind === FaultKind.KillProposer) this.isDead = true;
    if (fault.kind === FaultKind.FreezeProposer) this.frozenUntilMs = Date.now() + fault.durationMs;
  }
}
