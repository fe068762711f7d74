/** Handlers for the orders that a model engine executes. */
import { Err, Ok } from '@radishbay/core/outcome.js';

import { readNumber, readString, type JsonObject } from '../http/json.js';

import type { EngineModel } from './engineModel.js';
import type { OrderHandler, OrderReply } from './orderExecutor.js';

/** Creates a handler that requires one string parameter and fails only if it is missing. */
function createStringHandler(
  name: string,
  run: (text: string, params: JsonObject) => OrderReply,
): OrderHandler {
  return (params) => {
    const text = readString(params, name, '');
    return text === '' ? Err(`${name} must be given`) : Ok(run(text, params));
  };
}

/** Creates a handler that changes a set and replies with its members. */
function createSetHandler(
  name: string,
  listName: string,
  members: Set<string>,
  change: (member: string) => void,
): OrderHandler {
  return createStringHandler(name, (member) => {
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
  return createStringHandler('attemptId', (attemptId, params) => {
    model.inventory.importKv(attemptId, readNumber(params, 'tokens', 0));
    return { attemptId };
  });
}

/** Creates the handlers of one engine, by action. */
export function createEngineOrderHandlers(model: EngineModel): ReadonlyMap<string, OrderHandler> {
  const { models, adapters } = model.inventory;
  return new Map([
    ['load-model', createSetHandler('model', 'models', models, (name) => models.add(name))],
    ['unload-model', createSetHandler('model', 'models', models, (name) => models.delete(name))],
    [
      'load-adapter',
      createSetHandler('adapter', 'adapters', adapters, (name) => adapters.add(name)),
    ],
    [
      'unload-adapter',
      createSetHandler('adapter', 'adapters', adapters, (name) => adapters.delete(name)),
    ],
    [
      'change-role',
      createStringHandler('role', (role) => {
        model.inventory.changeRole(role);
        return { role };
      }),
    ],
    ['export-kv', exportKv(model)],
    ['import-kv', importKv(model)],
  ]);
}
