/**
 * Schemas with read-only types.
 *
 * Unlike `readonly()` of the library, they do not freeze the parsed value: that also happens to
 * values that are refused, and throws for bytes.
 */
import { z } from 'zod';

/** Creates the schema of a list. */
export function createListSchema<T>(item: z.ZodType<T>): z.ZodType<readonly T[]> {
  return z.array(item);
}
