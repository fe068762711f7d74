/** Proxies on the channels between entries, which can make the open channels silent for good. */
import net from 'node:net';

import { findFreePort, listen } from './net.mjs';

export class PeerChannels {
  #servers = [];

  #channels = new Set();

  /** Address of each entry's proxy, by the entry's own address. */
  #proxies = new Map();

  /** Chooses the entry's port for other entries, and starts its proxy; @returns the port. */
  async open(address) {
    const port = await findFreePort(address);
    const server = net.createServer((socket) => this.#connect(socket, address, port));
    this.#servers.push(server);
    this.#proxies.set(`${address}:${port}`, `127.0.0.1:${await listen(server)}`);
    return port;
  }

  /** Puts the proxy's address in the place of the entry's own, in what an entry registers. */
  translate(spec) {
    const proxy = this.#proxies.get(spec?.address);
    return proxy ? { ...spec, address: proxy } : spec;
  }

  /** Makes all open channels silent; new ones work. */
  silence() {
    this.#channels.forEach(({ dialler, entry }) => {
      dialler.unpipe();
      entry.unpipe();
      dialler.resume();
      entry.resume();
    });
    return this.#channels.size;
  }

  close() {
    this.#servers.forEach((server) => server.close());
    this.#channels.forEach(({ dialler, entry }) => {
      dialler.destroy();
      entry.destroy();
    });
  }

  #connect(dialler, host, port) {
    const entry = net.connect({ host, port });
    const channel = { dialler, entry };
    this.#channels.add(channel);
    const end = () => {
      this.#channels.delete(channel);
      dialler.destroy();
      entry.destroy();
    };
    [dialler, entry].forEach((socket) => {
      socket.on('error', end);
      socket.on('close', end);
    });
    dialler.pipe(entry);
    entry.pipe(dialler);
  }
}
