/** Failures of calls to an entry's operator interface, and their exit codes. */
import { OrderErrorKind } from '@radishbay/core/model/order.js';

import { ExitCode } from './exitCode.js';

export enum FailureKind {
  /** The entry refused the call. */
  Refused = 'refused',
  /** No entry was reached. */
  Unreachable = 'unreachable',
  /** The call may have taken effect. */
  Unknown = 'unknown',
}

/** Why a call failed. */
export interface Failure {
  readonly kind: FailureKind;
  /** Error kind sent by the entry; undefined if it sent none. */
  readonly reason: OrderErrorKind | undefined;
  readonly detail: string;
}

const EXIT_CODE_BY_KIND: Readonly<Record<FailureKind, ExitCode>> = {
  [FailureKind.Refused]: ExitCode.Refused,
  [FailureKind.Unreachable]: ExitCode.Unreachable,
  [FailureKind.Unknown]: ExitCode.Unknown,
};

/** Maps an error kind sent by an entry to the kind of failure. */
export function classifyReason(reason: OrderErrorKind): FailureKind {
  if (reason === OrderErrorKind.PlatformUnavailable) return FailureKind.Unreachable;
  if (reason === OrderErrorKind.Unknown) return FailureKind.Unknown;
  return FailureKind.Refused;
}

export function chooseExitCode(failure: Failure): ExitCode {
  return EXIT_CODE_BY_KIND[failure.kind];
}
