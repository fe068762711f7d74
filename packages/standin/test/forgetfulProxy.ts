/** A TCP relay that can lose track of its open connections, while new ones work. */
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';

/** Relays connections to one port of this machine. */
export class ForgetfulProxy {
  readonly #pairs = new Set<readonly [Socket, Socket]>();

  readonly #server;

  constructor(targetPort: number) {
    this.#server = createServer((near) => {
      const far = connect(targetPort, '127.0.0.1');
      near.on('error', () => far.destroy());
      far.on('error', () => near.destroy());
      near.pipe(far);
      far.pipe(near);
      this.#pairs.add([near, far]);
    });
  }

  start(): Promise<string> {
    return new Promise((resolve) => {
      this.#server.listen(0, '127.0.0.1', () => {
        resolve(`http://127.0.0.1:${(this.#server.address() as AddressInfo).port}`);
      });
    });
  }

  /** Number of connections relayed so far. */
  get count(): number {
    return this.#pairs.size;
  }

  /** From now on nothing passes on the connections that are open. */
  silence(): void {
    this.#pairs.forEach(([near, far]) => {
      near.unpipe(far);
      far.unpipe(near);
    });
  }

  stop(): void {
    this.#server.close();
    this.#pairs.forEach((pair) => pair.forEach((socket) => socket.destroy()));
  }
}
