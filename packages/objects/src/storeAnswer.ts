/** What the clients of object stores over HTTP make of answers and failures. */
import type { Agent } from 'node:http';

import { StoreErrorKind } from '@radishbay/core/ports/objectStore.js';

export type JsonObject = Readonly<Record<string, unknown>>;

/** Statuses that prove that nothing was written. */
const ERROR_KINDS: ReadonlyMap<number, StoreErrorKind> = new Map([
  [400, StoreErrorKind.Invalid],
  [401, StoreErrorKind.Invalid],
  [403, StoreErrorKind.Invalid],
  [404, StoreErrorKind.Conflict],
  [409, StoreErrorKind.Conflict],
  [410, StoreErrorKind.Compacted],
  [413, StoreErrorKind.Invalid],
  [429, StoreErrorKind.Throttled],
  [503, StoreErrorKind.Unavailable],
]);

/** What a status proves; undefined where a write may have taken effect. */
export function findErrorKind(status: number): StoreErrorKind | undefined {
  return ERROR_KINDS.get(status);
}

export function isJsonObject(value: unknown): value is JsonObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Parses a JSON object; undefined where the text is none. */
export function parseJsonObject(text: string): JsonObject | undefined {
  try {
    const value: unknown = JSON.parse(text);
    return isJsonObject(value) ? value : undefined;
  } catch {
    return undefined;
  }
}

/** Closes idle connections: where one has gone silent, the others may have as well. */
export function dropIdleConnections(agent: Agent): void {
  Object.values(agent.freeSockets).forEach((sockets) => {
    sockets?.forEach((socket) => socket.destroy());
  });
}
