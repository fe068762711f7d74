/** Orders of operators and what is read back of them. */

export enum OrderAction {
  DrainDomain = 'drain-domain',
  RestoreDomain = 'restore-domain',
  ChangeSetting = 'change-setting',
  PutObject = 'put-object',
  RemoveObject = 'remove-object',
  Rebalance = 'rebalance',
  PauseRebalance = 'pause-rebalance',
  ResumeRebalance = 'resume-rebalance',
  StopEntry = 'stop-entry',
  StopUpstream = 'stop-upstream',
}

/** An order as an operator gives it. */
export interface OperatorOrder {
  readonly action: OrderAction;
  /** Name of the domain, setting, group or process; `KIND/NAME` for objects. */
  readonly target: string;
  readonly params: Readonly<Record<string, unknown>>;
  /** Goes ahead where the forecast says that the rest would be overloaded. */
  readonly isForced: boolean;
  /** Name of the operator. */
  readonly by: string;
}

export enum OrderState {
  Accepted = 'accepted',
  InForce = 'in-force',
  Superseded = 'superseded',
  /** The platform has no trace of it: it did not take effect. */
  NotFound = 'not-found',
}

export enum OrderErrorKind {
  Conflict = 'conflict',
  Invalid = 'invalid',
  NotFound = 'not-found',
  /** The remaining domains could not carry the load; a forced order goes ahead. */
  Overload = 'overload',
  LastDomain = 'last-domain',
  PlatformUnavailable = 'platform-unavailable',
  /** The write may have taken effect; read back by the id. */
  Unknown = 'unknown',
}

export interface OrderError {
  readonly kind: OrderErrorKind;
  readonly detail: string;
  readonly orderId: string;
}

/** Load that a domain is expected to carry once an order is in force. */
export interface DomainForecast {
  readonly domain: string;
  readonly pool: string;
  readonly loadBefore: number;
  readonly loadAfter: number;
  readonly limit: number;
}

export interface OrderReceipt {
  readonly orderId: string;
  readonly version: number;
  readonly forecast: readonly DomainForecast[];
}

/** A process that has not confirmed an order's version. */
export interface MissingProcess {
  readonly process: string;
  readonly why: string;
}

export interface OrderStatus {
  readonly orderId: string;
  readonly state: OrderState;
  readonly action: string;
  readonly target: string;
  readonly by: string;
  readonly version: number;
  readonly fromVersion: number;
  readonly inForceOn: number;
  readonly of: number;
  readonly missing: readonly MissingProcess[];
}
