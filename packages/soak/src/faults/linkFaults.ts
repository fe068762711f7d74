/** What can befall a link, whoever is at its ends. */
import { wait } from '@radishbay/core/wait.js';
import { RelayDirection, type TcpRelay } from '@radishbay/standin/fleet/tcpRelay.js';

/** Delay of a slow link each way. */
const LINK_DELAY_MS = 150;

/** Holds a link in one direction or both. */
export async function holdLink(link: TcpRelay, forMs: number, draw: number): Promise<void> {
  const directions = Object.values(RelayDirection).filter(
    (_, at) => draw < 0.5 || draw < 0.75 === (at === 0),
  );
  directions.forEach((direction) => link.hold(direction));
  await wait(forMs);
  directions.forEach((direction) => link.release(direction));
}

/** Slows a link down. */
export async function delayLink(link: TcpRelay, forMs: number): Promise<void> {
  Object.assign(link, { delayMs: LINK_DELAY_MS });
  await wait(forMs);
  Object.assign(link, { delayMs: 0 });
}
