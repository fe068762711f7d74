/**
 * Registrations of processes in the platform, and the platform's own list of VMs.
 *
 * A registration holds an address; only heartbeats show whether the process is alive. The list of
 * VMs lags behind and serves only as a hint.
 */
import { z } from 'zod';

import { isSocketAddress } from '../model/socketAddress.js';

export const ENTRY_REGISTRY_PREFIX = 'registry/entry/';

export const SIDE_REGISTRY_PREFIX = 'registry/side/';

export const REGISTRY_PREFIX = 'registry/';

export const VM_PREFIX = 'vms/';

/**
 * Time for which an entry relies on its registration after it last saw it in the registry. Must be
 * shorter than the time after which the registration of a dead entry is removed.
 */
export const REGISTRATION_VALID_MS = 60_000;

const REGISTRATION = z.object({
  address: z.string().refine(isSocketAddress),
  incarnation: z.string(),
  domain: z.string(),
});

export type Registration = z.infer<typeof REGISTRATION>;

/** State of a VM in the platform's list of VMs. */
export enum VmState {
  Live = 'live',
  Leaving = 'leaving',
}

const VM = z.object({ state: z.enum(VmState) });

/** @returns undefined if the value is not a valid registration */
export function parseRegistration(value: unknown): Registration | undefined {
  return REGISTRATION.safeParse(value).data;
}

/** @returns state of a VM; undefined if the value is not a valid item of the list of VMs */
export function parseVmState(value: unknown): VmState | undefined {
  return VM.safeParse(value).data?.state;
}
