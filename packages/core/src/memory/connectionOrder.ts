/** Decides which connection of a caller closes when no more can be held. */
import { STOPPED_MS } from './evictionOrder.js';

/** Part of the keep-alive timeout for which an idle connection is never closed. */
const REUSE_FRACTION = 0.8;

export enum ConnectionPhase {
  /** No request has arrived on it yet, or only the beginning of a head. */
  Head = 'head',
  /** Idle between two requests. */
  Idle = 'idle',
  /** A request is in progress. */
  Busy = 'busy',
}

export interface ConnectionState {
  readonly phase: ConnectionPhase;
  /** Time since the caller did what is expected of it; 0 while it waits for the entry. */
  readonly idleMs: number;
}

/** Whether a connection may be closed to make room for another one. */
export function isClosable({ phase, idleMs }: ConnectionState, idleTimeoutMs: number): boolean {
  if (phase === ConnectionPhase.Idle) return idleMs > idleTimeoutMs * REUSE_FRACTION;
  return idleMs > STOPPED_MS;
}
