/**
 * Time bounds that several parts rely on together; settings may override them, tests shorten them.
 *
 * What ties them: an entry that is not confirmed for `configLeaseMs` begins no new work, a side
 * process takes no submission whose echoed tick is older than `tickLimitMs`, and both together stay
 * under the 4 s in which an accepted configuration is to be in force.
 */
export interface Timing {
  readonly heartbeatMs: number;
  /** A link that stays silent for this time is closed and dialled anew. */
  readonly silenceLimitMs: number;
  /** Longest time that an entry begins new work without platform or peers confirming it. */
  readonly configLeaseMs: number;
  /** Age by the side process's own clock at which a submission is refused as stale. */
  readonly tickLimitMs: number;
  readonly reportMs: number;
  readonly engineReportMs: number;
  /** An engine report older than this says nothing. */
  readonly engineReportLimitMs: number;
  readonly watchTimeoutMs: number;
  readonly reconnectMinMs: number;
  readonly reconnectMaxMs: number;
  /** Longest wait for the answer to an inquiry before the outcome counts as unknown. */
  readonly inquiryLimitMs: number;
  /** Time for which a side process keeps finished answers and dead attempt ids. */
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
