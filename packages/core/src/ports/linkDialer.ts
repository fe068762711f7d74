/** Interface for opening links to other processes. */
import type { Link } from './link.js';

/** Opens links to other processes. */
export abstract class LinkDialer {
  /** @param address IP address and port */
  abstract dial(address: string): Link;
}
