/**
 * Detects that an upstream has crashed, and reports which requests it was about to answer.
 *
 * A broken connection alone is no crash. Only when the upstream also refuses new connections do
 * the requests without output count as possible causes.
 */
import { LogLevel, type Log } from '../../ports/log.js';
import type { Metrics } from '../../ports/metrics.js';
import type { UpstreamCaller } from '../../ports/upstreamCaller.js';
import type { DirectUpstream } from '../directUpstream.js';
import { formatIncarnation } from '../incarnation.js';
import type { Crash } from './crashSuspicion.js';
import type { PromptQuarantine } from './promptQuarantine.js';

const LOG_PART = 'prompts';

/**
 * Time in milliseconds for which an abandoned request can still crash its upstream: until the
 * cancellation has arrived there.
 */
const ABANDONED_MS = 250;

/** Weights of a request as the cause, by whether the upstream had begun to answer it. */
const BEGUN_WEIGHT = 1;
const NOT_BEGUN_WEIGHT = 0.2;

/** A request without output at an upstream. */
export interface UnansweredRequest {
  readonly upstream: DirectUpstream;
  readonly parts: readonly string[];
  /** Whether the upstream had begun to answer. */
  readonly hasHead: boolean;
}

interface Suspect extends UnansweredRequest {
  readonly atMs: number;
}

export interface CrashDetectorOptions {
  readonly quarantine: PromptQuarantine;
  readonly upstreams: UpstreamCaller;
  readonly log: Log;
  readonly metrics: Metrics;
}

function weighParts(suspects: readonly Suspect[]): ReadonlyMap<string, number> {
  const weights = new Map<string, number>();
  suspects.forEach(({ parts, hasHead }) => {
    const weight = hasHead ? BEGUN_WEIGHT : NOT_BEGUN_WEIGHT;
    parts.forEach((part) => weights.set(part, Math.max(weight, weights.get(part) ?? 0)));
  });
  return weights;
}

/** Crash detection of one entry. */
export class CrashDetector {
  readonly #options: CrashDetectorOptions;

  #abandoned: readonly Suspect[] = [];

  /** Requests whose connection broke, and the check of their upstream, by its incarnation. */
  readonly #checks = new Map<string, { suspects: Suspect[]; done: Promise<void> }>();

  constructor(options: CrashDetectorOptions) {
    this.#options = options;
    options.quarantine.onPeerCrash((pool, { upstream, atMs }) => {
      const suspects = this.#takeAbandoned(upstream, atMs);
      if (suspects.length > 0) this.#report(pool, upstream, atMs, suspects);
    });
  }

  /** Records that this entry has cancelled a request before it had output. */
  noteAbandoned(request: UnansweredRequest): void {
    const nowMs = performance.now();
    this.#abandoned = [
      ...this.#abandoned.filter(({ atMs }) => nowMs - atMs < ABANDONED_MS),
      { ...request, atMs: nowMs },
    ];
  }

  /**
   * Records that the connection of a request broke before it had output.
   *
   * @returns resolves once it is known whether the upstream has crashed, and a crash is reported
   */
  noteLost(request: UnansweredRequest): Promise<void> {
    const suspect = { ...request, atMs: performance.now() };
    const incarnation = formatIncarnation(request.upstream.entry);
    const running = this.#checks.get(incarnation);
    if (running) {
      running.suspects.push(suspect);
      return running.done;
    }
    const suspects = [suspect];
    const done = this.#check(request.upstream, incarnation, suspects);
    this.#checks.set(incarnation, { suspects, done });
    return done;
  }

  async #check(
    { entry }: DirectUpstream,
    incarnation: string,
    suspects: readonly Suspect[],
  ): Promise<void> {
    const startedAtMs = performance.now();
    const hasCrashed = await this.#options.upstreams.isRefusingConnections(entry);
    this.#checks.delete(incarnation);
    if (!hasCrashed) return;
    const abandoned = this.#takeAbandoned(incarnation, startedAtMs);
    this.#report(entry.pool, incarnation, startedAtMs, [...suspects, ...abandoned]);
  }

  #takeAbandoned(incarnation: string, crashedAtMs: number): readonly Suspect[] {
    const isSuspect = ({ upstream, atMs }: Suspect) =>
      formatIncarnation(upstream.entry) === incarnation && crashedAtMs - atMs < ABANDONED_MS;
    const suspects = this.#abandoned.filter(isSuspect);
    this.#abandoned = this.#abandoned.filter((suspect) => !isSuspect(suspect));
    return suspects;
  }

  #report(pool: string, upstream: string, atMs: number, suspects: readonly Suspect[]): void {
    const { quarantine, log, metrics } = this.#options;
    const crash: Crash = { upstream, atMs, weights: weighParts(suspects) };
    metrics.count('upstream.crashed', { pool });
    log.write(LogLevel.Warn, LOG_PART, 'Upstream crashed with unanswered requests.', {
      upstream,
      pool,
      requests: suspects.length,
      promptParts: [...crash.weights.keys()].join(','),
    });
    quarantine.noteCrash(pool, crash);
  }
}
