import { ChangeKind, type Change, type ObservedExecution } from '../record/observation.js';

import { Check } from './check.js';

const WINDOW_MS = 4_000;

/** Requests allowed in a window: a factor on what the limit allows, and an addition. */
const EXCESS_FACTOR = 1.5;
const EXCESS_ADDITION = 5;

const MS_PER_SECOND = 1_000;

interface Limited {
  readonly perS: number;
  /** When the limit was named, or the upstream started. */
  sinceMs: number;
  recentAtMs: number[];
}

/**
 * Checks the requests of all stable entries together at each upstream that names a request limit,
 * while neither the upstream nor its link has a fault.
 */
export class RequestLimit extends Check {
  override readonly invariant = 'upstreams get no more requests than the limit that they name';

  readonly #limited = new Map<string, Limited>();

  override onChange({ kind, subject, atMs, limitPerS = 0 }: Change): void {
    const known = this.#limited.get(subject);
    if (kind === ChangeKind.UpstreamLimited) {
      this.#limited.set(subject, { perS: limitPerS, sinceMs: atMs, recentAtMs: [] });
    } else if (kind === ChangeKind.UpstreamUnlimited) this.#limited.delete(subject);
    else if (kind === ChangeKind.UpstreamRegistered && known) {
      Object.assign(known, { sinceMs: atMs, recentAtMs: [] });
    }
  }

  override onExecutionStart({ id, upstream, atMs }: ObservedExecution): void {
    const limited = this.#limited.get(upstream);
    if (!limited || atMs < limited.sinceMs + this.context.bounds.contactMs) return;
    const { timeline, findRequest } = this.context;
    const entry = findRequest(id)?.entry ?? '';
    if (!timeline.isStable(entry, atMs) || !timeline.isStable(upstream, atMs)) return;
    const recentAtMs = [...limited.recentAtMs.filter((each) => each > atMs - WINDOW_MS), atMs];
    limited.recentAtMs = recentAtMs;
    const expected = (limited.perS * WINDOW_MS) / MS_PER_SECOND;
    if (recentAtMs.length <= EXCESS_FACTOR * expected + EXCESS_ADDITION) return;
    this.report(
      `${upstream} takes ${limited.perS} requests a second and got ${recentAtMs.length} in 4 s`,
      atMs,
    );
  }
}
