/** Translates an order into a validated change of one configuration object. */
import { z } from 'zod';

import type { ConfigView } from '../config/configView.js';
import {
  ConfigKind,
  DomainState,
  formatConfigKey,
  parseConfigKey,
  parseConfigObject,
  SettingName,
} from '../config/object.js';
import { OrderAction, type OperatorOrder } from '../model/order.js';
import { Err, Ok, type Result } from '../outcome.js';
import { findReferenceFault, listReferrers } from './reference.js';

/** Target of pause and resume orders that stands for all groups. */
export const ALL_GROUPS = 'all';

/** The fields of a stored configuration object. */
type StoredValue = Readonly<Record<string, unknown>>;

/** The change of one configuration object that carries out an order. */
export interface OrderPlan {
  readonly key: string;
  /** Computes the new value of the object; undefined removes it. */
  readonly apply: (current: StoredValue | undefined) => Result<object | undefined, string>;
}

type PlanResult = Result<OrderPlan, string>;

const DRAIN_PARAMS = z.strictObject({ moveAfterMs: z.number().int().nonnegative().default(0) });

const NO_PARAMS = z.strictObject({});

const PUT_PARAMS = z.strictObject({ object: z.record(z.string(), z.unknown()) });

const SETTING_VALUES: Record<SettingName, z.ZodType<number | boolean>> = {
  [SettingName.RebalancePaused]: z.boolean(),
  [SettingName.WeightBytesPerSecond]: z.number().positive(),
  [SettingName.RetryShare]: z.number().min(0).max(1),
};

/** Validates the parameters of an order; the error names the parameter and the allowed values. */
function checkParams<T>(schema: z.ZodType<T>, order: OperatorOrder): Result<T, string> {
  const parsed = schema.safeParse(order.params);
  if (parsed.success) return Ok(parsed.data);
  const faults = parsed.error.issues.map(
    (issue) => `${issue.path.join('.') || 'params'}: ${issue.message}`,
  );
  return Err(`${order.action} ${order.target}: ${faults.join('; ')}`);
}

/** Validates the new value of a configuration object. */
function checkObject(key: string, value: StoredValue): Result<object | undefined, string> {
  const id = parseConfigKey(key);
  if (!id) return Err(`${key} is not the key of a configuration object`);
  const parsed = parseConfigObject(id.kind, id.name, value);
  if (parsed.ok) return Ok(value);
  const faults = parsed.val.map((fault) => `${fault.field}: ${fault.allowed}`);
  return Err(`${key}: ${faults.join('; ')}`);
}

/** Plans a change of some fields of an existing object. */
function planFields(key: string, fields: StoredValue): PlanResult {
  const apply: OrderPlan['apply'] = (current) =>
    current ? checkObject(key, { ...current, ...fields }) : Err(`${key} does not exist`);
  return Ok({ key, apply });
}

function planDomain(order: OperatorOrder, state: DomainState): PlanResult {
  const key = formatConfigKey(ConfigKind.Domain, order.target);
  if (state === DomainState.Active) {
    const params = checkParams(NO_PARAMS, order);
    return params.ok ? planFields(key, { state }) : params;
  }
  const params = checkParams(DRAIN_PARAMS, order);
  return params.ok ? planFields(key, { state, moveAfterMs: params.val.moveAfterMs }) : params;
}

function planSetting(order: OperatorOrder): PlanResult {
  const name = Object.values(SettingName).find((value) => String(value) === order.target);
  if (!name) {
    const allowed = Object.values(SettingName).join(', ');
    return Err(`unknown setting ${order.target}; allowed settings: ${allowed}`);
  }
  const params = checkParams(z.strictObject({ value: SETTING_VALUES[name] }), order);
  if (!params.ok) return params;
  const key = formatConfigKey(ConfigKind.Setting, name);
  const { value } = params.val;
  return Ok({ key, apply: (current) => checkObject(key, { ...current, name, value }) });
}

function planPause(order: OperatorOrder, isPaused: boolean): PlanResult {
  const params = checkParams(NO_PARAMS, order);
  if (!params.ok) return params;
  if (order.target !== ALL_GROUPS) {
    const key = formatConfigKey(ConfigKind.Group, order.target);
    return planFields(key, { isRebalancePaused: isPaused });
  }
  const name = SettingName.RebalancePaused;
  const key = formatConfigKey(ConfigKind.Setting, name);
  return Ok({ key, apply: (current) => checkObject(key, { ...current, name, value: isPaused }) });
}

/** Plans the stop of an upstream. Putting its object again reverts the stop. */
function planUpstreamStop(order: OperatorOrder): PlanResult {
  const params = checkParams(NO_PARAMS, order);
  if (!params.ok) return params;
  return planFields(formatConfigKey(ConfigKind.Upstream, order.target), { isStopped: true });
}

/** Parses a target of the form `KIND/NAME`. */
function parseTarget(order: OperatorOrder): Result<{ kind: ConfigKind; name: string }, string> {
  const id = parseConfigKey(`config/${order.target}`);
  if (id) return Ok(id);
  const kinds = Object.values(ConfigKind).join(', ');
  return Err(`target ${order.target} is not of the form KIND/NAME; allowed kinds: ${kinds}`);
}

/** Rejects a put that changes a domain's state: only a drain checks the remaining capacity. */
function checkDomainState(current: StoredValue | undefined, next: StoredValue): string | undefined {
  const state = next.state ?? DomainState.Active;
  if (!current || state === (current.state ?? DomainState.Active)) return undefined;
  return 'state: can be changed only by drain-domain and restore-domain';
}

function planPut(order: OperatorOrder, config: ConfigView): PlanResult {
  const target = parseTarget(order);
  if (!target.ok) return target;
  const params = checkParams(PUT_PARAMS, order);
  if (!params.ok) return params;
  const { kind, name } = target.val;
  const key = formatConfigKey(kind, name);
  const value = { ...params.val.object, name };
  const fault = findReferenceFault(config, kind, value);
  if (fault) return Err(`${key}: ${fault}`);
  const apply: OrderPlan['apply'] = (current) => {
    const stateFault = kind === ConfigKind.Domain ? checkDomainState(current, value) : undefined;
    if (stateFault) return Err(`${key}: ${stateFault}`);
    return checkObject(key, { ...value, orders: current?.orders ?? [] });
  };
  return Ok({ key, apply });
}

function planRemove(order: OperatorOrder, config: ConfigView): PlanResult {
  const target = parseTarget(order);
  if (!target.ok) return target;
  const params = checkParams(NO_PARAMS, order);
  if (!params.ok) return params;
  const { kind, name } = target.val;
  const key = formatConfigKey(kind, name);
  const referrers = listReferrers(config, kind, name);
  if (referrers.length > 0) return Err(`${key} is still referenced by ${referrers.join(', ')}`);
  return Ok({ key, apply: (current) => (current ? Ok(undefined) : Err(`${key} does not exist`)) });
}

/**
 * Plans an order.
 *
 * @param config this entry's current configuration, to check references
 * @returns the change, or an error message that names the object, the field and the allowed values
 */
export function planOrder(order: OperatorOrder, config: ConfigView): PlanResult {
  switch (order.action) {
    case OrderAction.DrainDomain:
      return planDomain(order, DomainState.Drained);
    case OrderAction.RestoreDomain:
      return planDomain(order, DomainState.Active);
    case OrderAction.ChangeSetting:
      return planSetting(order);
    case OrderAction.PutObject:
      return planPut(order, config);
    case OrderAction.RemoveObject:
      return planRemove(order, config);
    case OrderAction.StopUpstream:
      return planUpstreamStop(order);
    case OrderAction.PauseRebalance:
      return planPause(order, true);
    case OrderAction.ResumeRebalance:
      return planPause(order, false);
    case OrderAction.StopEntry:
      return Err('stop-entry: send SIGTERM to the process; it completes the requests in flight');
    case OrderAction.Rebalance:
      return Err('rebalance: groups are rebalanced automatically unless paused');
    default:
      return Err(`unknown action ${String(order.action)}`);
  }
}
