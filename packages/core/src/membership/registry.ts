/**
 * What processes register of themselves in the platform, and the platform's own list of VMs.
 *
 * Registrations name addresses; liveness is judged by heartbeats alone. The list of VMs lags and
 * is a hint only.
 */
import { z } from 'zod';

export const ENTRY_REGISTRY_PREFIX = 'registry/entry/';

export const SIDE_REGISTRY_PREFIX = 'registry/side/';

export const REGISTRY_PREFIX = 'registry/';

export const VM_PREFIX = 'vms/';

/**
 * Time for which an entry counts on its registration after it was last seen there; shorter than the
 * time after which the registration of a silent entry is removed.
 */
export const REGISTRATION_VALID_MS = 60_000;

const REGISTRATION = z.object({
  address: z.string().regex(/^[0-9a-f.:[\]]+:\d+$/u),
  incarnation: z.string(),
  domain: z.string(),
});

export type Registration = z.infer<typeof REGISTRATION>;

/** State of a VM in the platform's list. */
export enum VmState {
  Live = 'live',
  Leaving = 'leaving',
}

const VM = z.object({ state: z.enum(VmState) });

/** @returns undefined where the value is not a registration */
export function parseRegistration(value: unknown): Registration | undefined {
  return REGISTRATION.safeParse(value).data;
}

/** @returns undefined where the value is not a VM of the list */
export function parseVmState(value: unknown): VmState | undefined {
  return VM.safeParse(value).data?.state;
}
