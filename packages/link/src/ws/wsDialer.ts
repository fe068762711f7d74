/** Dials other processes over WebSockets. */
import { WebSocket } from 'ws';

import type { FaultSinks } from '@radishbay/core/fault.js';
import type { Link } from '@radishbay/core/ports/link.js';
import { LinkDialer } from '@radishbay/core/ports/linkDialer.js';

import { WsLink } from './wsLink.js';

/** HTTP path at which every process accepts links. */
export const LINK_PATH = '/link';

/** Timeout of the WebSocket handshake. */
const HANDSHAKE_TIMEOUT_MS = 2_000;

/** Opens links over WebSockets. */
export class WsDialer extends LinkDialer {
  readonly #sinks: FaultSinks;

  readonly #messageLimitBytes: number;

  /** @param messageLimitBytes largest frame accepted; a larger one closes the link */
  constructor(sinks: FaultSinks, messageLimitBytes: number) {
    super();
    this.#sinks = sinks;
    this.#messageLimitBytes = messageLimitBytes;
  }

  dial(address: string): Link {
    const socket = new WebSocket(`ws://${address}${LINK_PATH}`, {
      handshakeTimeout: HANDSHAKE_TIMEOUT_MS,
      maxPayload: this.#messageLimitBytes,
      perMessageDeflate: false,
      insecureHTTPParser: false,
    });
    return new WsLink(socket, this.#sinks);
  }
}
