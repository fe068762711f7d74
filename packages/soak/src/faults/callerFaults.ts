/** Callers of an entry that misbehave. */
import { wait } from '@radishbay/core/wait.js';
import { Crowd } from '@radishbay/fleet-platform/standin/crowd.js';
import {
  createExtendedChunks,
  createHalfHeads,
  createLargeBodies,
  createLargeChunks,
  createShortBodies,
  createTinyChunks,
} from '@radishbay/fleet-platform/standin/floodForms.js';

import type { SoakEntry } from '../fleet/soakEntry.js';
import type { Fault } from '../plan/fault.js';

/** Few enough that the entry stays far below its limits: its other callers must notice nothing. */
const CALLER_COUNT = 20;

const PATH = '/catalogue/flood';

const FORMS = [
  createTinyChunks,
  createLargeChunks,
  createLargeBodies,
  createExtendedChunks,
  createShortBodies,
  createHalfHeads,
];

/** Opens a crowd at an entry and closes its connections at the end of the fault. */
export async function floodEntry({ forMs, draw }: Fault, entry: SoakEntry): Promise<void> {
  const form = FORMS[Math.floor(draw * FORMS.length)] ?? createTinyChunks;
  const crowd = new Crowd();
  form(PATH, CALLER_COUNT).forEach((bytes) => crowd.send(entry.callerPort, bytes, entry.address));
  await wait(forMs);
  crowd.close();
}
