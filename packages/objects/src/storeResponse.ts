/** Helpers of HTTP object store clients for interpreting responses and failures. */
import type { Agent } from 'node:http';

import { StoreErrorKind } from '@radishbay/core/ports/objectStore.js';

export type JsonObject = Readonly<Record<string, unknown>>;

/** Error kinds of the response statuses that prove that nothing was written. */
const ERROR_KIND_BY_STATUS: ReadonlyMap<number, StoreErrorKind> = new Map([
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

/** Error kind that a status proves; undefined if a write may have taken effect. */
export function findErrorKind(status: number): StoreErrorKind | undefined {
  return ERROR_KIND_BY_STATUS.get(status);
}

export function isJsonObject(value: unknown): value is JsonObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Parses a JSON object; undefined if the text is anything else. */
export function parseJsonObject(text: string): JsonObject | undefined {
  try {
    const value: unknown = JSON.parse(text);
    return isJsonObject(value) ? value : undefined;
  } catch {
    return undefined;
  }
}

/** Closes an agent's idle connections: if one stopped responding, the others may have as well. */
export function closeIdleConnections(agent: Agent): void {
  Object.values(agent.freeSockets).forEach((sockets) => {
    sockets?.forEach((socket) => socket.destroy());
  });
}
