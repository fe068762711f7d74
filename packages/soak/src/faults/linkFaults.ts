/** Faults of a network link, independent of its endpoints. */
import { wait } from '@radishbay/core/wait.js';
import { RelayDirection, type TcpRelay } from '@radishbay/standin/fleet/tcpRelay.js';

/** Delay of a slow link in each direction. */
const LINK_DELAY_MS = 150;

/**
 * Blocks a link for a while.
 *
 * @param draw below 0.5 both directions are blocked, otherwise one of them
 */
export async function holdLink(link: TcpRelay, forMs: number, draw: number): Promise<void> {
  const directions = Object.values(RelayDirection).filter(
    (_, at) => draw < 0.5 || draw < 0.75 === (at === 0),
  );
  directions.forEach((direction) => link.hold(direction));
  await wait(forMs);
  directions.forEach((direction) => link.release(direction));
}

/** Adds a delay to a link for a while. */
export async function delayLink(link: TcpRelay, forMs: number): Promise<void> {
  Object.assign(link, { delayMs: LINK_DELAY_MS });
  await wait(forMs);
  Object.assign(link, { delayMs: 0 });
}
