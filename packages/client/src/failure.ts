/** Failures of calls to the operator interface. */
import { OrderErrorKind } from '@radishbay/core/model/order.js';

import { ExitCode } from './exitCode.js';

export enum FailureKind {
  /** The entry refused the call. */
  Refused = 'refused',
  /** No entry was reached. */
  Unreachable = 'unreachable',
  /** The call may have had its effect. */
  Unknown = 'unknown',
}

export interface Failure {
  readonly kind: FailureKind;
  /** Kind told by the entry. */
  readonly reason: OrderErrorKind | undefined;
  readonly detail: string;
}

const EXIT_CODES: Readonly<Record<FailureKind, ExitCode>> = {
  [FailureKind.Refused]: ExitCode.Refused,
  [FailureKind.Unreachable]: ExitCode.Unreachable,
  [FailureKind.Unknown]: ExitCode.Unknown,
};

/** Kind of failure behind an error that an entry tells. */
export function classifyReason(reason: OrderErrorKind): FailureKind {
  if (reason === OrderErrorKind.PlatformUnavailable) return FailureKind.Unreachable;
  if (reason === OrderErrorKind.Unknown) return FailureKind.Unknown;
  return FailureKind.Refused;
}

export function chooseExitCode(failure: Failure): ExitCode {
  return EXIT_CODES[failure.kind];
}
