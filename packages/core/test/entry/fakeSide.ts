/**
 * A side process with its upstream, reduced to the protocol. It records every execution.
 *
 * Each answer begins and ends with its attempt id, so that a mix of two answers is detected.
 */
import {
  AttemptState,
  MessageType,
  type Message,
  type MessageOf,
} from '../../src/messages/message.js';
import { RefusalReason } from '../../src/model/reason.js';

/** Largest number of answer bytes in one message. */
const CHUNK_BYTES = 8;

interface Execution {
  /** Entry to which the answer is sent. */
  owner: string;
  readonly answer: Uint8Array;
  readonly isRepeatable: boolean;
  hasHead: boolean;
  sentBytes: number;
  isEnded: boolean;
  creditOffset: number;
}

function refuse(attemptId: string, reason: RefusalReason): Message {
  return { type: MessageType.Refused, attemptId, reason, retryAfterMs: 40 };
}

/** Handles the messages of one side process. */
export class FakeSide {
  readonly upstream: string;

  incarnation: string;

  /** Refuses submissions with this reason while it is set. */
  gateReason: RefusalReason | undefined;

  /** Attempts that it runs at once; further ones are refused as full. */
  limit = Number.POSITIVE_INFINITY;

  /** All executions at the upstream; a restart of the side process keeps them. */
  readonly executions: { readonly attemptId: string; readonly body: string }[] = [];

  #attempts = new Map<string, Execution>();

  #dead = new Set<string>();

  #starts = 1;

  constructor(upstream: string) {
    this.upstream = upstream;
    this.incarnation = `${upstream}-1`;
  }

  /** Restarts the side process, which loses all its records of attempts. */
  restart(): void {
    this.#starts += 1;
    this.incarnation = `${this.upstream}-${this.#starts}`;
    this.#attempts = new Map();
    this.#dead = new Set();
  }

  /** Complete answer of an attempt. */
  static answerOf(attemptId: string, body: string): string {
    return `${attemptId} answers ${body}, says ${attemptId}`;
  }

  /**
   * Handles a message and returns the replies.
   *
   * @param owner entry that sent it
   */
  receive(message: Message, owner: string): Message[] {
    if (message.type === MessageType.Submit) return this.#submit(message, owner);
    if (message.type === MessageType.Inquire) return this.#inquire(message, owner);
    if (message.type === MessageType.Cancel) this.#cancel(message.attemptId);
    if (message.type === MessageType.Credit) this.#credit(message);
    return [];
  }

  /** Number of attempts that have not ended. */
  get runningCount(): number {
    return [...this.#attempts.values()].filter((run) => !run.isEnded).length;
  }

  /** Ids of an entry's attempts that have not ended. */
  listRunning(owner: string): string[] {
    const running = [...this.#attempts].filter(([, run]) => !run.isEnded && run.owner === owner);
    return running.map(([id]) => id);
  }

  /** Returns the next message of each of an entry's running answers: head, data or end. */
  step(owner: string): Message[] {
    return this.listRunning(owner).flatMap((id) => this.#step(id));
  }

  /** Returns all remaining messages of an entry's running answers. */
  finish(owner: string): Message[] {
    const messages = this.step(owner);
    return messages.length === 0 ? [] : [...messages, ...this.finish(owner)];
  }

  #submit(message: MessageOf<MessageType.Submit>, owner: string): Message[] {
    const { attemptId } = message;
    if (message.sideIncarnation !== this.incarnation) {
      return [refuse(attemptId, RefusalReason.StaleIncarnation)];
    }
    if (this.#dead.has(attemptId)) return [refuse(attemptId, RefusalReason.AttemptDead)];
    if (this.#attempts.has(attemptId)) return [];
    const isFull = this.runningCount >= this.limit;
    const gateReason = isFull ? RefusalReason.UpstreamFull : this.gateReason;
    if (gateReason) {
      this.#dead.add(attemptId);
      return [refuse(attemptId, gateReason)];
    }
    const body = new TextDecoder().decode(message.body);
    this.executions.push({ attemptId, body });
    this.#attempts.set(attemptId, {
      owner,
      answer: new TextEncoder().encode(FakeSide.answerOf(attemptId, body)),
      isRepeatable: message.isRepeatable,
      hasHead: false,
      sentBytes: 0,
      isEnded: false,
      creditOffset: message.creditBytes,
    });
    return [];
  }

  #inquire(message: MessageOf<MessageType.Inquire>, owner: string): Message[] {
    const { attemptId, fromOffset, creditBytes } = message;
    if (message.sideIncarnation !== this.incarnation) {
      return [{ type: MessageType.InquiryAnswer, attemptId, state: AttemptState.Lost }];
    }
    const run = this.#attempts.get(attemptId);
    if (!run && message.submitTickMs === undefined) {
      return [{ type: MessageType.InquiryAnswer, attemptId, state: AttemptState.Lost }];
    }
    if (!run) {
      this.#dead.add(attemptId);
      return [{ type: MessageType.InquiryAnswer, attemptId, state: AttemptState.Dead }];
    }
    const state = run.isEnded ? AttemptState.Finished : AttemptState.Running;
    Object.assign(run, { owner, sentBytes: fromOffset, hasHead: false, isEnded: false });
    run.creditOffset = fromOffset + creditBytes;
    return [{ type: MessageType.InquiryAnswer, attemptId, state }];
  }

  /** Returns all remaining messages of one answer. */
  finishOne(attemptId: string): Message[] {
    const messages = this.#step(attemptId);
    const isEnd = messages.some((message) => message.type === MessageType.End);
    return isEnd || messages.length === 0 ? messages : [...messages, ...this.finishOne(attemptId)];
  }

  #cancel(attemptId: string): void {
    if (this.#attempts.get(attemptId)?.isRepeatable) this.#attempts.delete(attemptId);
  }

  #credit(message: MessageOf<MessageType.Credit>): void {
    const run = this.#attempts.get(message.attemptId);
    if (run) run.creditOffset = Math.max(run.creditOffset, message.upToOffset);
  }

  #step(attemptId: string): Message[] {
    const run = this.#attempts.get(attemptId);
    if (!run) return [];
    if (!run.hasHead) {
      run.hasHead = true;
      return [{ type: MessageType.Head, attemptId, status: 200, headers: {} }];
    }
    if (run.sentBytes === run.answer.length) {
      run.isEnded = true;
      return [{ type: MessageType.End, attemptId, totalBytes: run.answer.length }];
    }
    const end = Math.min(run.sentBytes + CHUNK_BYTES, run.answer.length, run.creditOffset);
    const data = run.answer.slice(run.sentBytes, end);
    if (data.length === 0) return [];
    const offset = run.sentBytes;
    run.sentBytes = end;
    return [{ type: MessageType.Data, attemptId, offset, data }];
  }
}
