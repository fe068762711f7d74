/** A TCP relay between two processes of a harness, on which connections can be cut or go silent. */
import net, { type AddressInfo, type Socket } from 'node:net';

interface Pair {
  readonly near: Socket;
  readonly far: Socket;
}

function destroyPair({ near, far }: Pair): void {
  near.destroy();
  far.destroy();
}

/** Stops passing bytes on; both ends believe that the connection is up. */
function silencePair({ near, far }: Pair): void {
  near.unpipe(far);
  far.unpipe(near);
  near.resume();
  far.resume();
}

/** Relays every connection to one port. */
export class TcpRelay {
  readonly #host: string;

  readonly #targetPort: number;

  readonly #server: net.Server;

  readonly #pairs = new Set<Pair>();

  constructor(host: string, targetPort: number) {
    this.#host = host;
    this.#targetPort = targetPort;
    this.#server = net.createServer((near) => this.#relay(near));
  }

  /** Connections that pass bytes on or are silent. */
  get size(): number {
    return this.#pairs.size;
  }

  /** @returns the port to connect to */
  start(): Promise<number> {
    return new Promise((resolve) => {
      this.#server.listen(0, this.#host, () => {
        resolve((this.#server.address() as AddressInfo).port);
      });
    });
  }

  /** Closes all connections; new ones pass. */
  cut(): void {
    this.#pairs.forEach(destroyPair);
  }

  /** Lets all connections go silent for good; new ones pass. */
  silence(): void {
    this.#pairs.forEach(silencePair);
  }

  stop(): Promise<void> {
    this.cut();
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
    });
  }

  #relay(near: Socket): void {
    const far = net.connect(this.#targetPort, this.#host);
    const pair = { near, far };
    this.#pairs.add(pair);
    near.pipe(far);
    far.pipe(near);
    [near, far].forEach((socket) => {
      socket.on('error', () => destroyPair(pair));
      socket.on('close', () => {
        destroyPair(pair);
        this.#pairs.delete(pair);
      });
    });
  }
}
