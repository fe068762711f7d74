/** Orders given by operators, and their status. */

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

/** An order given by an operator. */
export interface OperatorOrder {
  readonly action: OrderAction;
  /** Name of the failure domain, setting, group or process; `KIND/NAME` for objects. */
  readonly target: string;
  readonly params: Readonly<Record<string, unknown>>;
  /** Whether to proceed even if the forecast shows that the remaining domains get overloaded. */
  readonly isForced: boolean;
  /** Name of the operator. */
  readonly by: string;
}

export enum OrderState {
  Accepted = 'accepted',
  InForce = 'in-force',
  Superseded = 'superseded',
  /** The platform has no record of the order: it did not take effect. */
  NotFound = 'not-found',
}

export enum OrderErrorKind {
  Conflict = 'conflict',
  Invalid = 'invalid',
  NotFound = 'not-found',
  /** The remaining domains could not carry the load; a forced order proceeds anyway. */
  Overload = 'overload',
  LastDomain = 'last-domain',
  PlatformUnavailable = 'platform-unavailable',
  /** The write may have taken effect; its state can be read by the order's id. */
  Unknown = 'unknown',
}

export interface OrderError {
  readonly kind: OrderErrorKind;
  readonly detail: string;
  readonly orderId: string;
}

/** Expected load of a failure domain before and after an order takes effect. */
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
