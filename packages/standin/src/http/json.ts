/** Reads untyped JSON from requests and command-line arguments. */

export type JsonObject = Readonly<Record<string, unknown>>;

export function isJsonObject(value: unknown): value is JsonObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** @returns the parsed object, or undefined if the text is not a JSON object */
export function parseObject(text: string): JsonObject | undefined {
  try {
    const value: unknown = JSON.parse(text);
    return isJsonObject(value) ? value : undefined;
  } catch {
    return undefined;
  }
}

/** @returns the finite number in a field, or the fallback if there is none */
export function readNumber(object: JsonObject, name: string, fallback: number): number {
  const value = object[name];
  return typeof value === 'number' && Number.isFinite(value) ? value : fallback;
}

/** @returns the string in a field, or the fallback if there is none */
export function readString(object: JsonObject, name: string, fallback: string): string {
  const value = object[name];
  return typeof value === 'string' ? value : fallback;
}
