/** The orders that a model engine carries out. */
import { Err, Ok } from '@radishbay/core/outcome.js';

import { readNumber, readString, type JsonObject } from '../http/json.js';

import type { EngineModel } from './engineModel.js';
import type { OrderHandler, OrderReply } from './orderExecutor.js';

/** Makes a handler that needs one named text and cannot fail once it has it. */
function withText(
  name: string,
  run: (text: string, params: JsonObject) => OrderReply,
): OrderHandler {
  return (params) => {
    const text = readString(params, name, '');
    return text === '' ? Err(`${name} must be given`) : Ok(run(text, params));
  };
}

/** Changes a set and replies with its members. */
function withSet(
  name: string,
  listName: string,
  members: Set<string>,
  change: (member: string) => void,
): OrderHandler {
  return withText(name, (member) => {
    change(member);
    return { [listName]: [...members] };
  });
}

function exportKv(model: EngineModel): OrderHandler {
  return (params) => {
    const attemptId = readString(params, 'attemptId', '');
    const tokens = model.exportKv(attemptId);
    return tokens === undefined ? Err(`${attemptId} is not in flight`) : Ok({ attemptId, tokens });
  };
}

function importKv(model: EngineModel): OrderHandler {
  return withText('attemptId', (attemptId, params) => {
    model.inventory.importKv(attemptId, readNumber(params, 'tokens', 0));
    return { attemptId };
  });
}

/** Handlers by action, for one engine. */
export function listEngineOrders(model: EngineModel): ReadonlyMap<string, OrderHandler> {
  const { models, adapters } = model.inventory;
  return new Map([
    ['load-model', withSet('model', 'models', models, (name) => models.add(name))],
    ['unload-model', withSet('model', 'models', models, (name) => models.delete(name))],
    ['load-adapter', withSet('adapter', 'adapters', adapters, (name) => adapters.add(name))],
    ['unload-adapter', withSet('adapter', 'adapters', adapters, (name) => adapters.delete(name))],
    [
      'change-role',
      withText('role', (role) => {
        model.inventory.changeRole(role);
        return { role };
      }),
    ],
    ['export-kv', exportKv(model)],
    ['import-kv', importKv(model)],
  ]);
}
