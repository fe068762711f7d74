/**
 * Intervals and timeouts shared by several parts. Settings may override them; tests shorten them.
 *
 * They depend on each other: an entry that is not confirmed for `configLeaseMs` starts no new work,
 * a side process accepts no submission whose echoed tick is older than `tickLimitMs`, and the sum
 * of both is below the 4 s within which an accepted configuration must be in force.
 */
export interface Timing {
  /** Interval of heartbeats on a link. */
  readonly heartbeatMs: number;
  /** Time without messages after which a link is closed and dialled again. */
  readonly silenceLimitMs: number;
  /** Longest time that an entry starts new work without confirmation by the platform or peers. */
  readonly configLeaseMs: number;
  /** Age, by the side process's own clock, above which a submission is refused as stale. */
  readonly tickLimitMs: number;
  readonly reportMs: number;
  readonly engineReportMs: number;
  /** Age above which an engine report is ignored. */
  readonly engineReportLimitMs: number;
  readonly watchTimeoutMs: number;
  readonly reconnectMinMs: number;
  readonly reconnectMaxMs: number;
  /** Timeout of an inquiry, after which the outcome of the attempt counts as unknown. */
  readonly inquiryLimitMs: number;
  /** Retention time of finished answers and dead attempt ids in a side process. */
  readonly attemptKeptMs: number;
  readonly statusMs: number;
  readonly leaseMs: number;
}

export const DEFAULT_TIMING: Timing = {
  heartbeatMs: 500,
  silenceLimitMs: 1_800,
  configLeaseMs: 2_400,
  tickLimitMs: 1_500,
  reportMs: 250,
  engineReportMs: 250,
  engineReportLimitMs: 2_000,
  watchTimeoutMs: 10_000,
  reconnectMinMs: 50,
  reconnectMaxMs: 2_000,
  inquiryLimitMs: 3_000,
  attemptKeptMs: 60_000,
  statusMs: 1_000,
  leaseMs: 6_000,
};
