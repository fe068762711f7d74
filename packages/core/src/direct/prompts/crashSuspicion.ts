/**
 * Estimates which prompt parts crash upstreams, from the requests that crashed upstreams were about
 * to answer.
 *
 * Each crash is attributed to the parts of these requests, or to none of them. A part that has been
 * served since is cleared, which leaves more of the crash to the others; one that was served
 * shortly before is unlikely, but not cleared, as it may crash upstreams only since then.
 */

/** Time in which crashes of several upstreams count as one incident, in milliseconds. */
const INCIDENT_MS = 1_000;

/** Weight of "an unrelated cause", relative to 1 for a part that is not known to be harmless. */
const UNRELATED_WEIGHT = 0.25;

/** Weight of a part that was served shortly before the crash. */
const SERVED_BEFORE_WEIGHT = 0.15;

/** Time in which a served answer makes a later crash less likely, in milliseconds. */
const SERVED_BEFORE_MS = 60_000;

/** A crash of one incarnation of an upstream. */
export interface Crash {
  /** Incarnation of the upstream. */
  readonly upstream: string;
  readonly atMs: number;
  /**
   * Parts of the requests that had no output yet, with weights up to 1: the weight is higher where
   * the upstream had begun to answer.
   */
  readonly weights: ReadonlyMap<string, number>;
}

/** What is suspected of one part. */
export interface Suspicion {
  /** Probability that the part crashes upstreams. */
  readonly probability: number;
  /** Number of incidents on which the suspicion is based. */
  readonly incidents: number;
  readonly lastCrashAtMs: number;
}

/** Returns when a part was last served; undefined if never. */
export type FindServedAt = (part: string) => number | undefined;

/** Groups crashes by the time of the first one. */
function groupIncidents(crashes: readonly Crash[]): readonly (readonly Crash[])[] {
  const sorted = [...crashes].sort((a, b) => a.atMs - b.atMs);
  return sorted.reduce<Crash[][]>((incidents, crash) => {
    const latest = incidents[incidents.length - 1];
    const startedAtMs = latest?.[0]?.atMs ?? Number.NEGATIVE_INFINITY;
    if (latest && crash.atMs - startedAtMs < INCIDENT_MS) latest.push(crash);
    else incidents.push([crash]);
    return incidents;
  }, []);
}

/** Weight of a part as the cause of one crash; 0 where it is cleared or was not involved. */
function weighPart(part: string, crash: Crash, findServedAt: FindServedAt): number {
  const weight = crash.weights.get(part) ?? 0;
  const servedAtMs = findServedAt(part) ?? Number.NEGATIVE_INFINITY;
  if (servedAtMs > crash.atMs) return 0;
  return crash.atMs - servedAtMs < SERVED_BEFORE_MS ? weight * SERVED_BEFORE_WEIGHT : weight;
}

/** Weight of a part as the common cause of an incident. */
interface Candidate {
  readonly part: string;
  readonly weight: number;
  /** Crashes of the incident that the part does not explain. */
  readonly unexplained: number;
  readonly lastCrashAtMs: number;
}

function listCandidates(
  incident: readonly Crash[],
  findServedAt: FindServedAt,
): readonly Candidate[] {
  const parts = new Set(incident.flatMap(({ weights }) => [...weights.keys()]));
  return [...parts].flatMap((part) => {
    const involved = incident
      .map((crash) => ({ crash, weight: weighPart(part, crash, findServedAt) }))
      .filter(({ weight }) => weight > 0);
    if (involved.length === 0) return [];
    const largest = Math.max(...involved.map(({ weight }) => weight));
    const coverage = involved.length / incident.length;
    return {
      part,
      // Squared, as the other crashes would need causes of their own at the same time.
      weight: largest * coverage ** 2,
      unexplained: incident.length - involved.length,
      lastCrashAtMs: Math.max(...involved.map(({ crash }) => crash.atMs)),
    };
  });
}

function addIncident(
  known: Suspicion | undefined,
  probability: number,
  lastCrashAtMs: number,
): Suspicion {
  return {
    probability: 1 - (1 - (known?.probability ?? 0)) * (1 - probability),
    incidents: (known?.incidents ?? 0) + 1,
    lastCrashAtMs: Math.max(known?.lastCrashAtMs ?? lastCrashAtMs, lastCrashAtMs),
  };
}

/** Computes the suspicion of each part that is not cleared of all crashes. */
export function computeSuspicions(
  crashes: readonly Crash[],
  findServedAt: FindServedAt,
): ReadonlyMap<string, Suspicion> {
  const suspicions = new Map<string, Suspicion>();
  groupIncidents(crashes).forEach((incident) => {
    const candidates = listCandidates(incident, findServedAt);
    const total = candidates.reduce((sum, { weight }) => sum + weight, 0);
    candidates.forEach(({ part, weight, unexplained, lastCrashAtMs }) => {
      const probability = weight / (UNRELATED_WEIGHT * (unexplained + 1) + total);
      suspicions.set(part, addIncident(suspicions.get(part), probability, lastCrashAtMs));
    });
  });
  return suspicions;
}
