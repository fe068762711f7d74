/**
 * Configuration objects: their kinds, schemas and validation.
 *
 * Each object is stored in the platform under `config/KIND/NAME` as JSON. An invalid object never
 * replaces a valid one: {@link parseConfigObject} reports the object, the field and what is
 * allowed.
 */
import { z } from 'zod';

import { Err, Ok, type Result } from '../outcome.js';

export const CONFIG_PREFIX = 'config/';

/** Number of recent orders kept in an object, for reading back an order by its id. */
export const ORDER_MARKS_KEPT = 16;

export enum ConfigKind {
  Pool = 'pool',
  Group = 'group',
  Domain = 'domain',
  Workspace = 'workspace',
  RequestClass = 'class',
  Upstream = 'upstream',
  Setting = 'setting',
}

export enum PoolKind {
  /** Continuous-batching model engines. */
  Model = 'model',
  /** Plain HTTP services. */
  Plain = 'plain',
}

export enum DomainState {
  Active = 'active',
  Drained = 'drained',
}

/** Whether an upstream's engine rejects orders with an outdated fencing number. */
export enum FencingMode {
  Checked = 'checked',
  Ignored = 'ignored',
}

/** Names of the fleet-wide settings that operators can change by order. */
export enum SettingName {
  RebalancePaused = 'rebalance-paused',
  WeightBytesPerSecond = 'weight-bytes-per-second',
  RetryShare = 'retry-share',
}

const NAME = z
  .string()
  .regex(/^[a-z0-9][a-z0-9.-]{0,62}$/u, 'lower-case letters, digits, dots and dashes, up to 63');
const POSITIVE_INT = z.number().int().positive();

const ORDER_MARK = z.strictObject({
  id: z.string(),
  by: z.string(),
  action: z.string(),
  atMs: z.number(),
  /** Version of the object that the order was based on. */
  fromVersion: z.number().int().nonnegative(),
});

const BASE = {
  name: NAME,
  orders: z.array(ORDER_MARK).max(ORDER_MARKS_KEPT).default([]),
};

export const POOL_SCHEMA = z.strictObject({
  ...BASE,
  kind: z.enum(PoolKind),
  models: z.array(z.string()).default([]),
  /** Maximum number of requests that one entry queues for this pool. */
  queueLimit: POSITIVE_INT.default(1000),
});

export const GROUP_SCHEMA = z.strictObject({
  ...BASE,
  pool: NAME,
  ranks: POSITIVE_INT.max(1024),
  layers: POSITIVE_INT.default(1),
  expertsPerLayer: POSITIVE_INT.default(64),
  /** Maximum number of expert replicas per layer that one rank holds. */
  slotsPerRank: POSITIVE_INT,
  expertBytes: POSITIVE_INT,
  /** Replicas that a rank has memory for beyond its slots, while a new expert map is staged. */
  spareExperts: z.number().int().nonnegative().default(0),
  isRebalancePaused: z.boolean().default(false),
});

export const DOMAIN_SCHEMA = z.strictObject({
  ...BASE,
  state: z.enum(DomainState).default(DomainState.Active),
  region: NAME.default('main'),
  /** Time after a drain at which requests in flight move elsewhere; 0 lets them finish in place. */
  moveAfterMs: z.number().int().nonnegative().default(0),
});

export const WORKSPACE_SCHEMA = z.strictObject({
  ...BASE,
  /** SHA-256 of the workspace's key, in hex; the key itself is never stored. */
  keySha256: z.string().regex(/^[0-9a-f]{64}$/u, 'SHA-256 in hex, 64 digits'),
  requestsPerSecond: z.number().positive(),
  burst: POSITIVE_INT,
  weight: z.number().positive().default(1),
});

const REQUEST_CLASS_FIELDS = z.strictObject({
  ...BASE,
  pool: NAME,
  /** Path prefix that selects the class if no header names one. */
  pathPrefix: z.string().startsWith('/'),
  methods: z.array(z.string()).default(['POST']),
  /** Priority from 0, served first, to 9. */
  priority: z.number().int().min(0).max(9).default(5),
  deadlineMs: POSITIVE_INT.max(3_600_000),
  /** Whether a request may run more than once. */
  isRepeatable: z.boolean(),
  /** Longest time without progress of a response before the attempt is given up. */
  progressTimeoutMs: POSITIVE_INT.default(3_000),
});

/** A silent upstream must be given up while there is time to try another one. */
export const REQUEST_CLASS_SCHEMA = REQUEST_CLASS_FIELDS.refine(
  ({ progressTimeoutMs, deadlineMs }) => progressTimeoutMs < deadlineMs,
  { path: ['progressTimeoutMs'], message: 'less than deadlineMs' },
);

export const UPSTREAM_SCHEMA = z.strictObject({
  ...BASE,
  pool: NAME,
  domain: NAME,
  group: NAME.optional(),
  rank: z.number().int().nonnegative().optional(),
  /** IP address and port of the side process. */
  address: z.string().regex(/^[0-9a-f.:[\]]+:\d+$/u, 'IP address and port, such as 127.0.0.1:7100'),
  /** Maximum number of concurrent attempts when warm. */
  warmLimit: POSITIVE_INT,
  /** Maximum number of concurrent attempts when cold. */
  coldLimit: POSITIVE_INT,
  fencing: z.enum(FencingMode).default(FencingMode.Ignored),
  /** Taken out of service by an operator: gets no new work. */
  isStopped: z.boolean().default(false),
});

export const SETTING_SCHEMA = z.strictObject({
  ...BASE,
  name: z.enum(SettingName),
  value: z.union([z.number(), z.boolean()]),
});

export type OrderMark = z.infer<typeof ORDER_MARK>;
export type Pool = z.infer<typeof POOL_SCHEMA>;
export type Group = z.infer<typeof GROUP_SCHEMA>;
export type Domain = z.infer<typeof DOMAIN_SCHEMA>;
export type Workspace = z.infer<typeof WORKSPACE_SCHEMA>;
export type RequestClass = z.infer<typeof REQUEST_CLASS_SCHEMA>;
export type Upstream = z.infer<typeof UPSTREAM_SCHEMA>;
export type Setting = z.infer<typeof SETTING_SCHEMA>;

/** Type of the objects of each kind. */
export interface ConfigTypes {
  [ConfigKind.Pool]: Pool;
  [ConfigKind.Group]: Group;
  [ConfigKind.Domain]: Domain;
  [ConfigKind.Workspace]: Workspace;
  [ConfigKind.RequestClass]: RequestClass;
  [ConfigKind.Upstream]: Upstream;
  [ConfigKind.Setting]: Setting;
}

export type ConfigObject = ConfigTypes[ConfigKind];

const SCHEMAS: { [K in ConfigKind]: z.ZodType<ConfigTypes[K]> } = {
  [ConfigKind.Pool]: POOL_SCHEMA,
  [ConfigKind.Group]: GROUP_SCHEMA,
  [ConfigKind.Domain]: DOMAIN_SCHEMA,
  [ConfigKind.Workspace]: WORKSPACE_SCHEMA,
  [ConfigKind.RequestClass]: REQUEST_CLASS_SCHEMA,
  [ConfigKind.Upstream]: UPSTREAM_SCHEMA,
  [ConfigKind.Setting]: SETTING_SCHEMA,
};

/** Validation error in one field of one object. */
export interface ConfigFault {
  readonly key: string;
  readonly field: string;
  readonly allowed: string;
}

/** Formats the key of an object in the platform. */
export function formatConfigKey(kind: ConfigKind, name: string): string {
  return `${CONFIG_PREFIX}${kind}/${name}`;
}

/**
 * Reads kind and name from a key.
 *
 * @returns undefined if the key is not that of a configuration object
 */
export function parseConfigKey(key: string): { kind: ConfigKind; name: string } | undefined {
  const [prefix, kind, name, ...rest] = key.split('/');
  if (prefix !== 'config' || !name || rest.length > 0) return undefined;
  const known = Object.values(ConfigKind).find((value) => value === kind);
  return known ? { kind: known, name } : undefined;
}

/**
 * Validates an object received from the platform or from an operator.
 *
 * @returns the object with defaults applied, or all validation errors
 */
export function parseConfigObject<K extends ConfigKind>(
  kind: K,
  name: string,
  value: unknown,
): Result<ConfigTypes[K], ConfigFault[]> {
  const key = formatConfigKey(kind, name);
  const parsed = SCHEMAS[kind].safeParse(value);
  if (!parsed.success) {
    const faults = parsed.error.issues.map((issue) => ({
      key,
      field: issue.path.join('.') || '(object)',
      allowed: issue.message,
    }));
    return Err(faults);
  }
  if (parsed.data.name !== name) {
    return Err([{ key, field: 'name', allowed: `the name in the key, ${name}` }]);
  }
  return Ok(parsed.data);
}
