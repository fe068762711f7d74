/** The lease object as it stands in the platform. */
import { z } from 'zod';

/** Holder of a lease that was given back. */
export const FREE_HOLDER = '';

const LEASE_RECORD = z.object({
  holder: z.string(),
  /** Rises with each holder. */
  fencingNumber: z.number().int().positive(),
});

export type LeaseRecord = z.infer<typeof LEASE_RECORD>;

/** @returns undefined where the value is not a lease */
export function parseLeaseRecord(value: unknown): LeaseRecord | undefined {
  return LEASE_RECORD.safeParse(value).data;
}
