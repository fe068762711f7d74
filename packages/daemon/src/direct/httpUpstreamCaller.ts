/** Calls upstreams over HTTP/1.1 on keep-alive connections. */
import net from 'node:net';

import type { UpstreamEntry } from '@radishbay/core/direct/directUpstream.js';
import {
  CallFailureKind,
  ConnectionChoice,
  UpstreamCaller,
  type CallEvents,
  type CallInProgress,
  type UpstreamCall,
} from '@radishbay/core/ports/upstreamCaller.js';

import { HttpUpstreamCall, splitAddress } from './httpUpstreamCall.js';
import { UpstreamAgent } from './upstreamAgent.js';
import type { WireCodec } from './wireCodec.js';

/** Maximum idle time of a connection used for requests that may be retried. */
const IDLE_LIMIT_MS = 8_000;

/**
 * Maximum idle time of a connection used for requests that must run at most once: a reset of a
 * stale connection would leave their outcome unknown.
 */
const RECENT_IDLE_LIMIT_MS = 1_000;

/** Timeout of a check whether an upstream refuses connections: many round trips. */
const CHECK_TIMEOUT_MS = 200;

const PORT_MAX = 65_535;

/** Stands for a call whose request could not be created. */
const FAILED_CALL: CallInProgress = { cancel: () => {}, pause: () => {}, resume: () => {} };

/** Node throws for a number that is no TCP port. */
function isPort(port: number): boolean {
  return Number.isInteger(port) && port > 0 && port <= PORT_MAX;
}

/** Calls upstreams over HTTP with its own connection pools. */
export class HttpUpstreamCaller extends UpstreamCaller {
  readonly #codec: WireCodec;

  readonly #agents: Readonly<Record<ConnectionChoice, UpstreamAgent>> = {
    [ConnectionChoice.Any]: new UpstreamAgent(IDLE_LIMIT_MS),
    [ConnectionChoice.Recent]: new UpstreamAgent(RECENT_IDLE_LIMIT_MS),
    [ConnectionChoice.New]: new UpstreamAgent(0),
  };

  constructor(codec: WireCodec) {
    super();
    this.#codec = codec;
  }

  /** Number of connections to upstreams. */
  get connectionCount(): number {
    return Object.values(this.#agents).reduce((sum, agent) => sum + agent.connectionCount, 0);
  }

  override call(call: UpstreamCall, events: CallEvents): CallInProgress {
    const agent = this.#agents[call.connection];
    try {
      return new HttpUpstreamCall(call, this.#codec, agent, events);
    } catch (error) {
      // Node's client rejects some values that its parser accepts; nothing has been sent then.
      const detail = `cannot write the request: ${String(error)}`;
      queueMicrotask(() => events.onFailure(CallFailureKind.NotSent, detail));
      return FAILED_CALL;
    }
  }

  override isRefusingConnections({ address }: UpstreamEntry): Promise<boolean> {
    const target = splitAddress(address);
    if (!isPort(target.port)) return Promise.resolve(false);
    return new Promise((resolve) => {
      const socket = net.connect(target);
      const finish = (isRefusing: boolean): void => {
        socket.destroy();
        resolve(isRefusing);
      };
      socket.setTimeout(CHECK_TIMEOUT_MS, () => finish(false));
      socket.once('connect', () => finish(false));
      socket.once('error', ({ code }: NodeJS.ErrnoException) => finish(code === 'ECONNREFUSED'));
    });
  }

  /** Closes all connections, including those in use. */
  close(): void {
    Object.values(this.#agents).forEach((agent) => agent.destroy());
  }
}
