/**
 * Connections of callers: bounds their number, and what arrives on them before a head is complete.
 *
 * Node parses heads without a call for each read, so heads in progress are measured at intervals by
 * the bytes that their connections have received.
 */
import type http from 'node:http';
import type { Socket } from 'node:net';

import {
  ConnectionPhase,
  isClosable,
  type ConnectionState,
} from '@radishbay/core/memory/connectionOrder.js';
import { Awaited, type MemoryAccount } from '@radishbay/core/memory/memoryAccount.js';
import { RefusalReason } from '@radishbay/core/model/reason.js';

/** Connections closed in one check to make room; each takes a pass over all of them. */
const CLOSED_PER_CHECK = 32;

/** Why a connection is closed. */
export enum CloseReason {
  ConnectionLimit = 'connection-limit',
  AddressLimit = 'address-limit',
  RequestLimit = 'request-limit',
  HeadMemory = 'head-memory',
}

export interface ConnectionLimits {
  /** Connections of all callers together. */
  readonly connections: number;
  readonly connectionsPerAddress: number;
  readonly requests: number;
  readonly requestsPerAddress: number;
  /** Bytes of all heads that are not complete. */
  readonly headBytes: number;
  /** Time for which a body may stand still. */
  readonly bodyIdleMs: number;
  /** Time for which an answer may remain unread. */
  readonly answerIdleMs: number;
}

interface Connection {
  readonly socket: Socket;
  readonly address: string;
  /** Unfinished requests. */
  requestCount: number;
  /** Whether a request has been handled on it. */
  isUsed: boolean;
  /** Bytes received until the end of the last request. */
  markBytes: number;
  receivedBytes: number;
  movedAtMs: number;
  account: MemoryAccount | undefined;
  /** The latest request; its body may still arrive after the answer. */
  message: http.IncomingMessage | undefined;
}

function isBodyDue({ message }: Connection): boolean {
  return message !== undefined && !message.complete;
}

function noteReceived(connection: Connection, nowMs: number): void {
  const { bytesRead } = connection.socket;
  if (bytesRead === connection.receivedBytes) return;
  Object.assign(connection, { receivedBytes: bytesRead, movedAtMs: nowMs });
  if (isBodyDue(connection)) Object.assign(connection, { markBytes: bytesRead });
}

function readState(connection: Connection, nowMs: number): ConnectionState {
  if (connection.requestCount > 0) {
    const idleMs = connection.account?.readIdleMs(nowMs) ?? 0;
    return { phase: ConnectionPhase.Busy, idleMs };
  }
  noteReceived(connection, nowMs);
  const hasBytes = connection.receivedBytes > connection.markBytes;
  const isHead = !connection.isUsed || hasBytes || isBodyDue(connection);
  const phase = isHead ? ConnectionPhase.Head : ConnectionPhase.Idle;
  return { phase, idleMs: nowMs - connection.movedAtMs };
}

export interface ConnectionTableOptions {
  readonly limits: ConnectionLimits;
  readonly getNowMs: () => number;
  readonly getIdleTimeoutMs: () => number;
  /** Connections that descriptors allow at present, beside those to upstreams. */
  readonly getAvailable?: (() => number) | undefined;
  readonly onClose: (reason: CloseReason) => void;
}

/** Connections of one server for callers. */
export class ConnectionTable {
  readonly #options: ConnectionTableOptions;

  readonly #connections = new Map<Socket, Connection>();

  readonly #countByAddress = new Map<string, number>();

  readonly #requestsByAddress = new Map<string, number>();

  #requestCount = 0;

  /** Bytes of the heads in progress at the last check. */
  #headBytes = 0;

  constructor(options: ConnectionTableOptions) {
    this.#options = options;
  }

  get connectionCount(): number {
    return this.#connections.size;
  }

  get headBytes(): number {
    return this.#headBytes;
  }

  get requestCount(): number {
    return this.#requestCount;
  }

  get #limit(): number {
    const { limits, getAvailable } = this.#options;
    return Math.min(limits.connections, getAvailable?.() ?? Infinity);
  }

  /** Adds a connection; closes it, or another one, if there are too many. */
  add(socket: Socket): void {
    const { limits, getNowMs, onClose } = this.#options;
    const address = socket.remoteAddress ?? '';
    const ofAddress = this.#countByAddress.get(address) ?? 0;
    if (ofAddress >= limits.connectionsPerAddress) {
      onClose(CloseReason.AddressLimit);
      socket.destroy();
      return;
    }
    if (this.#connections.size >= this.#limit) {
      onClose(CloseReason.ConnectionLimit);
      if (!this.#closeOne()) {
        socket.destroy();
        return;
      }
    }
    this.#countByAddress.set(address, ofAddress + 1);
    this.#connections.set(socket, {
      socket,
      address,
      requestCount: 0,
      isUsed: false,
      markBytes: 0,
      receivedBytes: 0,
      movedAtMs: getNowMs(),
      account: undefined,
      message: undefined,
    });
    socket.once('close', () => this.#remove(socket));
  }

  /** @returns false if its address, or all callers together, have too many unfinished requests */
  beginRequest(message: http.IncomingMessage): boolean {
    const connection = this.#connections.get(message.socket);
    if (!connection) return true;
    const { limits, onClose } = this.#options;
    const ofAddress = this.#requestsByAddress.get(connection.address) ?? 0;
    connection.isUsed = true;
    connection.message = message;
    connection.requestCount += 1;
    this.#requestCount += 1;
    this.#requestsByAddress.set(connection.address, ofAddress + 1);
    const isWithin =
      this.#requestCount <= limits.requests && ofAddress + 1 <= limits.requestsPerAddress;
    if (!isWithin) onClose(CloseReason.RequestLimit);
    return isWithin;
  }

  setAccount(socket: Socket, account: MemoryAccount | undefined): void {
    const connection = this.#connections.get(socket);
    if (connection) connection.account = account;
  }

  /** Called once for each request that was begun. */
  endRequest(socket: Socket): void {
    const connection = this.#connections.get(socket);
    if (!connection) return;
    connection.requestCount -= 1;
    this.#forgetRequests(connection.address, 1);
    // A pipelined request has replaced the account by its own.
    if (connection.requestCount === 0) connection.account = undefined;
    connection.markBytes = socket.bytesRead;
    connection.receivedBytes = socket.bytesRead;
    connection.movedAtMs = this.#options.getNowMs();
  }

  /** Connections with unfinished requests. */
  listBusy(): readonly Socket[] {
    return [...this.#connections.values()]
      .filter(({ requestCount }) => requestCount > 0)
      .map(({ socket }) => socket);
  }

  /** Whether a request is unfinished on a connection, or its body still arrives. */
  isBusy(socket: Socket): boolean {
    const connection = this.#connections.get(socket);
    return connection !== undefined && (connection.requestCount > 0 || isBodyDue(connection));
  }

  /** Measures heads in progress, and ends what has stood still for too long or is too much. */
  check(): void {
    this.#checkConnections();
    for (let at = 0; at < CLOSED_PER_CHECK && this.#connections.size > this.#limit; at += 1) {
      if (!this.#closeOne()) return;
      this.#options.onClose(CloseReason.ConnectionLimit);
    }
  }

  #checkConnections(): void {
    const { limits, getNowMs, onClose } = this.#options;
    const nowMs = getNowMs();
    this.#headBytes = 0;
    const heads: Connection[] = [];
    this.#connections.forEach((connection) => {
      if (connection.account) this.#checkIdle(connection.account, nowMs);
      if (connection.requestCount > 0) return;
      noteReceived(connection, nowMs);
      const bytes = connection.receivedBytes - connection.markBytes;
      if (bytes === 0) return;
      this.#headBytes += bytes;
      heads.push(connection);
    });
    if (this.#headBytes <= limits.headBytes) return;
    heads.sort((a, b) => a.movedAtMs - b.movedAtMs);
    heads.every((connection) => {
      this.#headBytes -= connection.receivedBytes - connection.markBytes;
      onClose(CloseReason.HeadMemory);
      connection.socket.destroy();
      return this.#headBytes > limits.headBytes;
    });
  }

  #checkIdle(account: MemoryAccount, nowMs: number): void {
    const { bodyIdleMs, answerIdleMs } = this.#options.limits;
    const isBody = account.awaited === Awaited.Body;
    if (account.readIdleMs(nowMs) <= (isBody ? bodyIdleMs : answerIdleMs)) return;
    account.evict(isBody ? RefusalReason.RequestTooSlow : RefusalReason.AnswerUnread);
  }

  /** Closes the connection whose caller has been idle longest; @returns whether there is one */
  #closeOne(): boolean {
    const { getNowMs, getIdleTimeoutMs } = this.#options;
    const nowMs = getNowMs();
    const idleTimeoutMs = getIdleTimeoutMs();
    const closable = [...this.#connections.values()]
      .map((connection) => ({ connection, state: readState(connection, nowMs) }))
      .filter(({ state }) => isClosable(state, idleTimeoutMs));
    if (closable.length === 0) return false;
    const { connection } = closable.reduce((worst, each) =>
      each.state.idleMs > worst.state.idleMs ? each : worst,
    );
    connection.account?.evict(RefusalReason.MemoryShort);
    connection.socket.destroy();
    this.#remove(connection.socket);
    return true;
  }

  #remove(socket: Socket): void {
    const connection = this.#connections.get(socket);
    if (!connection) return;
    this.#connections.delete(socket);
    const left = (this.#countByAddress.get(connection.address) ?? 1) - 1;
    if (left > 0) this.#countByAddress.set(connection.address, left);
    else this.#countByAddress.delete(connection.address);
    this.#forgetRequests(connection.address, connection.requestCount);
  }

  #forgetRequests(address: string, count: number): void {
    if (count === 0) return;
    this.#requestCount -= count;
    const left = (this.#requestsByAddress.get(address) ?? 0) - count;
    if (left > 0) this.#requestsByAddress.set(address, left);
    else this.#requestsByAddress.delete(address);
  }
}
