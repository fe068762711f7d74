/**
 * What a small fleet consists of: failure domains, pools, upstreams, workspaces, request classes.
 *
 * The sample fleet carries both kinds of work: a model pool behind completion routes, and a plain
 * service some of whose calls must not run twice.
 */
import { createHash } from 'node:crypto';

import {
  ConfigKind,
  DomainState,
  formatConfigKey,
  PoolKind,
} from '@radishbay/core/config/object.js';

export const SAMPLE_DOMAINS = ['zone-a', 'zone-b', 'zone-c'] as const;
export const MODEL_POOL = 'assistant';
export const PLAIN_POOL = 'exchange';
export const SAMPLE_MODEL = 'score-1';

/** Attempts at once on a warm model upstream of the sample fleet. */
const MODEL_WARM_LIMIT = 16;
const MODEL_COLD_LIMIT = 2;
const PLAIN_WARM_LIMIT = 32;
const PLAIN_COLD_LIMIT = 8;

/** A workspace with the key that its callers present. */
export interface PlannedWorkspace {
  readonly name: string;
  readonly key: string;
  readonly requestsPerSecond: number;
  readonly burst: number;
}

export interface PlannedUpstream {
  readonly name: string;
  readonly pool: string;
  readonly domain: string;
  readonly isPlain: boolean;
  readonly warmLimit: number;
  readonly coldLimit: number;
}

export interface FleetPlan {
  readonly entries: readonly { readonly name: string; readonly domain: string }[];
  readonly domains: readonly string[];
  readonly upstreams: readonly PlannedUpstream[];
  readonly workspaces: readonly PlannedWorkspace[];
}

/** A configuration object as it is written to the platform. */
export interface PlannedObject {
  readonly key: string;
  readonly value: Readonly<Record<string, unknown>>;
}

const WORKSPACES: readonly PlannedWorkspace[] = [
  { name: 'choir', key: 'choir-key-0001', requestsPerSecond: 500, burst: 500 },
  { name: 'officers', key: 'officers-key-0001', requestsPerSecond: 500, burst: 500 },
];

function planUpstreams(
  pool: string,
  isPlain: boolean,
  perDomain: number,
): readonly PlannedUpstream[] {
  return SAMPLE_DOMAINS.flatMap((domain) =>
    Array.from({ length: perDomain }, (_, index) => ({
      name: `${pool}-${domain.at(-1)}${index + 1}`,
      pool,
      domain,
      isPlain,
      warmLimit: isPlain ? PLAIN_WARM_LIMIT : MODEL_WARM_LIMIT,
      coldLimit: isPlain ? PLAIN_COLD_LIMIT : MODEL_COLD_LIMIT,
    })),
  );
}

/**
 * Plans the sample fleet.
 *
 * @param modelsPerDomain model upstreams in each failure domain
 */
export function planSampleFleet(entryCount: number, modelsPerDomain: number): FleetPlan {
  return {
    entries: Array.from({ length: entryCount }, (_, index) => ({
      name: `entry-${index + 1}`,
      domain: SAMPLE_DOMAINS[index % SAMPLE_DOMAINS.length] ?? SAMPLE_DOMAINS[0],
    })),
    domains: SAMPLE_DOMAINS,
    upstreams: [
      ...planUpstreams(MODEL_POOL, false, modelsPerDomain),
      ...planUpstreams(PLAIN_POOL, true, 1),
    ],
    workspaces: WORKSPACES,
  };
}

function planClasses(): readonly PlannedObject[] {
  const classes = [
    {
      name: 'completion',
      pool: MODEL_POOL,
      pathPrefix: '/v1/',
      deadlineMs: 30_000,
      isRepeatable: true,
      priority: 3,
    },
    {
      name: 'swap',
      pool: PLAIN_POOL,
      pathPrefix: '/swaps',
      deadlineMs: 10_000,
      isRepeatable: false,
      priority: 1,
    },
    {
      name: 'sets',
      pool: PLAIN_POOL,
      pathPrefix: '/sets',
      methods: ['GET'],
      deadlineMs: 10_000,
      isRepeatable: true,
      priority: 5,
    },
  ];
  return classes.map((value) => ({
    key: formatConfigKey(ConfigKind.RequestClass, value.name),
    value,
  }));
}

function planWorkspaceObjects(plan: FleetPlan): readonly PlannedObject[] {
  return plan.workspaces.map((workspace) => ({
    key: formatConfigKey(ConfigKind.Workspace, workspace.name),
    value: {
      name: workspace.name,
      keySha256: createHash('sha256').update(workspace.key).digest('hex'),
      requestsPerSecond: workspace.requestsPerSecond,
      burst: workspace.burst,
    },
  }));
}

/**
 * Lists the configuration objects of a fleet.
 *
 * @param addresses address of the side process of each upstream, by its name
 */
export function listObjects(
  plan: FleetPlan,
  addresses: ReadonlyMap<string, string>,
): readonly PlannedObject[] {
  const domains = plan.domains.map((name) => ({
    key: formatConfigKey(ConfigKind.Domain, name),
    value: { name, state: DomainState.Active },
  }));
  const pools = [
    { name: MODEL_POOL, kind: PoolKind.Model, models: [SAMPLE_MODEL] },
    { name: PLAIN_POOL, kind: PoolKind.Plain },
  ].map((value) => ({ key: formatConfigKey(ConfigKind.Pool, value.name), value }));
  const upstreams = plan.upstreams.map(({ name, pool, domain, warmLimit, coldLimit }) => ({
    key: formatConfigKey(ConfigKind.Upstream, name),
    value: { name, pool, domain, warmLimit, coldLimit, address: addresses.get(name) },
  }));
  return [...domains, ...pools, ...upstreams, ...planClasses(), ...planWorkspaceObjects(plan)];
}
