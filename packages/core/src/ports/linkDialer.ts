/** How links to other processes are opened. */
import type { Link } from './link.js';

/** Opens links to other processes. */
export abstract class LinkDialer {
  /** @param address IP number and port */
  abstract dial(address: string): Link;
}
