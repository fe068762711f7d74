/** Reads of loosely typed JSON, as it comes from requests and arguments. */

export type JsonObject = Readonly<Record<string, unknown>>;

export function isJsonObject(value: unknown): value is JsonObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** @returns the object, or undefined where the text is anything else */
export function parseObject(text: string): JsonObject | undefined {
  try {
    const value: unknown = JSON.parse(text);
    return isJsonObject(value) ? value : undefined;
  } catch {
    return undefined;
  }
}

/** @returns the number under a name, or the fallback where there is none */
export function readNumber(object: JsonObject, name: string, fallback: number): number {
  const value = object[name];
  return typeof value === 'number' && Number.isFinite(value) ? value : fallback;
}

/** @returns the string under a name, or the fallback where there is none */
export function readString(object: JsonObject, name: string, fallback: string): string {
  const value = object[name];
  return typeof value === 'string' ? value : fallback;
}
