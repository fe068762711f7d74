/** Entry simulated by the test: sends messages to a side process and records the replies. */
import {
  MessageType,
  PROTOCOL_VERSION,
  PeerRole,
  type Message,
  type MessageOf,
} from '../../src/messages/message.js';
import { DEFAULT_TIMING } from '../../src/model/timing.js';
import type { SideNode } from '../../src/side/sideNode.js';

import { TestLink } from './testLink.js';

export const TOKEN = 'link-token';

export type SubmitChanges = Partial<MessageOf<MessageType.Submit>>;
export type InquiryChanges = Partial<MessageOf<MessageType.Inquire>>;

export class TestEntry {
  readonly link = new TestLink();

  readonly name: string;

  tickMs = 0;

  sideIncarnation = '';

  #timer: NodeJS.Timeout | undefined;

  constructor(name: string) {
    this.name = name;
  }

  /** Opens a link to a side process and sends heartbeats on it. */
  connect(node: SideNode, token = TOKEN): void {
    node.attach(this.link);
    this.link.receive({
      type: MessageType.Hello,
      protocol: PROTOCOL_VERSION,
      role: PeerRole.Entry,
      name: this.name,
      incarnation: 'i',
      token,
      configRevision: 0,
    });
    this.#timer = setInterval(() => this.sendHeartbeat(), DEFAULT_TIMING.heartbeatMs);
    this.updateTick();
  }

  /** Stops the heartbeats, as a frozen process does. */
  freeze(): void {
    clearInterval(this.#timer);
  }

  sendHeartbeat(): void {
    this.updateTick();
    this.link.receive({
      type: MessageType.Heartbeat,
      configRevision: 0,
      tickMs: 0,
      echoTickMs: this.tickMs,
      isCurrent: true,
      isStopping: false,
    });
  }

  updateTick(): void {
    this.list(MessageType.Heartbeat).forEach((heartbeat) => {
      this.tickMs = heartbeat.tickMs;
    });
    const [welcome] = this.list(MessageType.Welcome);
    this.tickMs = Math.max(this.tickMs, welcome?.tickMs ?? 0);
    this.sideIncarnation = welcome?.incarnation ?? '';
  }

  makeSubmit(attemptId: string, changes: SubmitChanges = {}): MessageOf<MessageType.Submit> {
    this.updateTick();
    return {
      type: MessageType.Submit,
      attemptId,
      sideIncarnation: this.sideIncarnation,
      echoTickMs: this.tickMs,
      configRevision: 1,
      workspace: 'w',
      className: 'c',
      priority: 5,
      isRepeatable: false,
      isStream: true,
      remainingMs: 30_000,
      progressTimeoutMs: 10_000,
      method: 'POST',
      path: '/v1/completions',
      headers: {},
      body: new Uint8Array(2),
      prefixHashes: [],
      creditBytes: 262_144,
      ...changes,
    };
  }

  submit(attemptId: string, changes: SubmitChanges = {}): void {
    this.link.receive(this.makeSubmit(attemptId, changes));
  }

  inquire(attemptId: string, fromOffset = 0, changes: InquiryChanges = {}): void {
    this.link.receive({
      type: MessageType.Inquire,
      attemptId,
      sideIncarnation: this.sideIncarnation,
      fromOffset,
      creditBytes: 262_144,
      ...changes,
    });
  }

  /** All received messages of one type. */
  list<T extends MessageType>(type: T): MessageOf<T>[] {
    return this.link.sent.filter((message): message is MessageOf<T> => message.type === type);
  }

  /** Types of the received messages about one attempt, in order. */
  listTypes(attemptId: string): MessageType[] {
    return this.#listAbout(attemptId).map((message) => message.type);
  }

  /** Received response bytes of one attempt; throws if they are not contiguous. */
  readResponse(attemptId: string, fromOffset = 0): Uint8Array {
    const pieces = this.list(MessageType.Data).filter((data) => data.attemptId === attemptId);
    let nextOffset = fromOffset;
    pieces.forEach(({ offset, data }) => {
      if (offset !== nextOffset) throw new Error(`response not contiguous at offset ${offset}`);
      nextOffset += data.length;
    });
    return Buffer.concat(pieces.map(({ data }) => data));
  }

  /** Reason with which an attempt was refused or failed; undefined if it was not. */
  readReason(attemptId: string): string | undefined {
    const found = this.#listAbout(attemptId).find((message) => 'reason' in message);
    return found && 'reason' in found ? found.reason : undefined;
  }

  #listAbout(attemptId: string): Message[] {
    return this.link.sent.filter(
      (message) => 'attemptId' in message && message.attemptId === attemptId,
    );
  }
}
