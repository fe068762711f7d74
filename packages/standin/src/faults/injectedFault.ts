/** Errors that tests raise in daemons, which stand for faults in the daemons' own code. */
import { fileURLToPath } from 'node:url';

/** Field of a response whose headers the daemon fails to read. */
export const READ_FAULT_HEADER = 'X-Read-Fault';

/** Signal on which the daemon raises an error outside of all requests. */
export const FAULT_SIGNAL: NodeJS.Signals = 'SIGUSR2';

/** Flags of the Node process of a daemon with injected faults. */
export const FAULT_FLAGS: readonly string[] = [
  '--import',
  fileURLToPath(new URL('faultPreload.js', import.meta.url)),
];
