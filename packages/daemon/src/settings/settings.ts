/** Schema of a daemon's settings: fields, allowed values and defaults. */
import { z } from 'zod';

import { isSocketAddress } from '@radishbay/core/model/socketAddress.js';
import { DEFAULT_TIMING } from '@radishbay/core/model/timing.js';
import { LogLevel } from '@radishbay/core/ports/log.js';

const PORT = z.number().int().min(0).max(65_535);
const IP_ADDRESS = z.union([z.ipv4(), z.ipv6()]);
const ADDRESS = z
  .string()
  .refine(isSocketAddress, 'must be an IP address and port, such as 127.0.0.1:7100');
const DURATION_MS = z.number().int().positive();
const BYTES = z.number().int().positive();

/** Minimum length of the tokens for links, operators and the platform, in characters. */
const TOKEN_MIN_LENGTH = 8;
const TOKEN = z.string().min(TOKEN_MIN_LENGTH);

export enum Role {
  Entry = 'entry',
  Side = 'side',
}

export enum LogFormat {
  Json = 'json',
  Text = 'text',
}

export enum UpstreamKind {
  Model = 'model',
  Plain = 'plain',
}

const LISTEN = { host: IP_ADDRESS.default('127.0.0.1'), port: PORT };

const LOG = z.strictObject({
  level: z.enum(LogLevel).default(LogLevel.Info),
  format: z.enum(LogFormat).default(LogFormat.Json),
});

const METRICS = z.strictObject({
  /** Address of the StatsD server; without a port, no metrics are sent. */
  host: IP_ADDRESS.default('127.0.0.1'),
  port: PORT.optional(),
  prefix: z.string().default('radishbay.'),
});

/** Overrides of the intervals and timeouts in core/model/timing. */
const TIMING = z.strictObject({
  heartbeatMs: DURATION_MS.default(DEFAULT_TIMING.heartbeatMs),
  silenceLimitMs: DURATION_MS.default(DEFAULT_TIMING.silenceLimitMs),
  configLeaseMs: DURATION_MS.default(DEFAULT_TIMING.configLeaseMs),
  tickLimitMs: DURATION_MS.default(DEFAULT_TIMING.tickLimitMs),
  reportMs: DURATION_MS.default(DEFAULT_TIMING.reportMs),
  engineReportMs: DURATION_MS.default(DEFAULT_TIMING.engineReportMs),
  engineReportLimitMs: DURATION_MS.default(DEFAULT_TIMING.engineReportLimitMs),
  watchTimeoutMs: DURATION_MS.default(DEFAULT_TIMING.watchTimeoutMs),
  reconnectMinMs: DURATION_MS.default(DEFAULT_TIMING.reconnectMinMs),
  reconnectMaxMs: DURATION_MS.default(DEFAULT_TIMING.reconnectMaxMs),
  inquiryLimitMs: DURATION_MS.default(DEFAULT_TIMING.inquiryLimitMs),
  attemptKeptMs: DURATION_MS.default(DEFAULT_TIMING.attemptKeptMs),
  statusMs: DURATION_MS.default(DEFAULT_TIMING.statusMs),
  leaseMs: DURATION_MS.default(DEFAULT_TIMING.leaseMs),
});

const STOP = z.strictObject({
  /** Time for the balancer to notice that `/readyz` fails before connections are closed. */
  noticeMs: z.number().int().nonnegative().default(3_000),
  /** A graceful shutdown that takes longer is logged as an error, but not aborted. */
  warnAfterMs: DURATION_MS.default(60_000),
});

const BASE = {
  name: z
    .string()
    .regex(
      /^[a-z0-9][a-z0-9.-]{0,62}$/u,
      'must be 1 to 63 letters a-z, digits, dots or dashes, starting with a letter or digit',
    ),
  domain: z.string().min(1),
  log: LOG.prefault({}),
  metrics: METRICS.prefault({}),
  timing: TIMING.prefault({}),
  stop: STOP.prefault({}),
  /** Seed of the pseudo-random numbers, for tests that reproduce a run. */
  seed: z.number().int().optional(),
};

const LINKS = {
  ...LISTEN,
  /** Shared secret of all processes of the system. */
  token: TOKEN,
  messageLimitBytes: BYTES.default(8 * 1024 * 1024),
  linkLimit: z.number().int().positive().default(1_024),
};

const PLATFORM = z.strictObject({
  url: z.url({ protocol: /^http$/u }),
  token: TOKEN.optional(),
  callTimeoutMs: DURATION_MS.default(2_000),
});

const OPERATOR = z.strictObject({ name: z.string().min(1), token: TOKEN });

export const ENTRY_SETTINGS = z.strictObject({
  ...BASE,
  role: z.literal(Role.Entry),
  region: z.string().default('main'),
  callers: z.strictObject({
    ...LISTEN,
    bodyLimitBytes: BYTES.default(1024 * 1024),
    headerLimitBytes: BYTES.default(16 * 1024),
    connectionLimit: z.number().int().positive().default(10_000),
  }),
  operators: z.strictObject({ ...LISTEN, accounts: z.array(OPERATOR).min(1) }),
  links: z.strictObject({
    ...LINKS,
    /** Address at which other processes reach this one; required if `host` is a wildcard. */
    advertise: ADDRESS.optional(),
    /** Addresses of the first peer entries; others are discovered through the platform. */
    peers: z.array(ADDRESS).default([]),
  }),
  platform: PLATFORM,
});

export const SIDE_SETTINGS = z.strictObject({
  ...BASE,
  role: z.literal(Role.Side),
  links: z.strictObject({ ...LINKS, advertise: ADDRESS.optional() }),
  upstream: z.strictObject({
    kind: z.enum(UpstreamKind),
    url: z.url({ protocol: /^http$/u }),
    callTimeoutMs: DURATION_MS.default(2_000),
  }),
  /** Where the process registers its address; if absent, the configured address is used. */
  platform: PLATFORM.optional(),
});

export const SETTINGS = z.discriminatedUnion('role', [ENTRY_SETTINGS, SIDE_SETTINGS]);

export type EntrySettings = z.infer<typeof ENTRY_SETTINGS>;
export type SideSettings = z.infer<typeof SIDE_SETTINGS>;
export type Settings = z.infer<typeof SETTINGS>;
