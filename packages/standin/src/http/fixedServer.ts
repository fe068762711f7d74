/** A server that answers each connection with the same bytes, then closes it. */
import type net from 'node:net';

import { RawServer } from './rawServer.js';

export class FixedServer extends RawServer {
  answer: Buffer = Buffer.alloc(0);

  protected override accept(socket: net.Socket): void {
    socket.once('data', () => socket.end(this.answer));
  }
}
