/** The lease object as stored in the platform. */
import { z } from 'zod';

/** Value of `holder` in a lease that was released. */
export const FREE_HOLDER = '';

const LEASE_RECORD = z.object({
  holder: z.string(),
  /** Increases with each holder. */
  fencingNumber: z.number().int().positive(),
});

export type LeaseRecord = z.infer<typeof LEASE_RECORD>;

/**
 * Parses a lease object read from the platform.
 *
 * @returns undefined if the value is not a valid lease
 */
export function parseLeaseRecord(value: unknown): LeaseRecord | undefined {
  return LEASE_RECORD.safeParse(value).data;
}
