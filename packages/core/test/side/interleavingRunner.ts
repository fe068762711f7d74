/** Runs a sequence of faults against side processes, and records what entries received. */
import {
  AttemptState,
  MessageType,
  type Message,
  type MessageOf,
} from '../../src/messages/message.js';
import { Outcome } from '../../src/model/reason.js';
import { EngineFailureKind } from '../../src/ports/engine.js';

import { startNode, type SideFixture } from './sideFixture.js';
import { TestEntry } from './testEntry.js';

/** Time for which a restarting engine refuses calls. */
const ENGINE_DOWN_MS = 1_000;

export enum StepKind {
  Submit = 'submit',
  /** Delivers an earlier submission a second time, on its original link. */
  Repeat = 'repeat',
  /** Opens a new link and inquires about all unresolved attempts. */
  Reconnect = 'reconnect',
  Freeze = 'freeze',
  TurnWarm = 'turn-warm',
  TurnCold = 'turn-cold',
  RestartEngine = 'restart-engine',
  RestartSide = 'restart-side',
  Wait = 'wait',
}

export interface Step {
  readonly kind: StepKind;
  readonly entry: number;
  readonly count: number;
  readonly isRepeatable: boolean;
  /** Delay of messages, or time to wait. */
  readonly delayMs: number;
}

interface SentSubmission {
  readonly submit: MessageOf<MessageType.Submit>;
  readonly via: TestEntry;
}

export class InterleavingRunner {
  /** Attempts that were reported to an entry as not run; they must never run. */
  readonly notRun = new Set<string>();

  /** Complete responses, by attempt id. */
  readonly responses = new Map<string, Uint8Array>();

  readonly #fixture: SideFixture;

  readonly #entries: TestEntry[];

  readonly #sent: SentSubmission[] = [];

  readonly #received = new Map<string, Uint8Array>();

  #readCounts = new Map<TestEntry, number>();

  #incarnation = 1;

  constructor(fixture: SideFixture, entry: TestEntry) {
    this.#fixture = fixture;
    const other = new TestEntry('entry-2');
    other.connect(fixture.node);
    this.#entries = [entry, other];
  }

  /** Runs the steps in sequence, then waits for all attempts to end. */
  async run(steps: readonly Step[], restMs: number): Promise<void> {
    const [step, ...rest] = steps;
    if (step) {
      await this.#runStep(step);
      this.#readAll();
      await this.run(rest, restMs);
      return;
    }
    this.#entries.forEach((_, index) => this.#reconnect(index));
    await this.#fixture.clock.tickAsync(restMs);
    this.#readAll();
  }

  async #runStep(step: Step): Promise<void> {
    const { clock, engine } = this.#fixture;
    switch (step.kind) {
      case StepKind.Submit:
        this.#submit(step);
        break;
      case StepKind.Repeat:
        this.#repeat(step);
        break;
      case StepKind.Reconnect:
        this.#reconnect(step.entry);
        break;
      case StepKind.Freeze:
        this.#entries[step.entry]?.freeze();
        break;
      case StepKind.TurnWarm:
      case StepKind.TurnCold:
        engine.setWarm(step.kind === StepKind.TurnWarm);
        break;
      case StepKind.RestartEngine:
        this.#restartEngine();
        break;
      case StepKind.RestartSide:
        this.#restartSide();
        break;
      default:
        await clock.tickAsync(step.delayMs);
    }
  }

  #submit({ entry, count, isRepeatable, delayMs }: Step): void {
    const via = this.#entries[entry];
    if (!via) return;
    Array.from({ length: count }, () => {
      const submit = via.makeSubmit(`a${this.#sent.length}`, { isRepeatable });
      this.#sent.push({ submit, via });
      return this.#deliver(via, submit, delayMs);
    });
  }

  #repeat({ count, delayMs }: Step): void {
    const sent = this.#sent[this.#sent.length - count];
    if (sent) this.#deliver(sent.via, sent.submit, delayMs);
  }

  /** Delivery may reorder the messages of a link, which is stricter than a real link. */
  #deliver(via: TestEntry, message: Message, delayMs: number): void {
    const { node } = this.#fixture;
    setTimeout(() => {
      if (this.#fixture.node === node) via.link.receive(message);
    }, delayMs);
  }

  #reconnect(index: number): void {
    const before = this.#entries[index];
    if (!before) return;
    this.#readNew(before);
    before.freeze();
    const entry = new TestEntry(before.name);
    this.#entries[index] = entry;
    entry.connect(this.#fixture.node);
    this.#sent
      .filter(({ submit, via }) => via.name === entry.name && this.#isOpen(submit.attemptId))
      .forEach(({ submit }) => this.#inquire(entry, submit));
  }

  #inquire(entry: TestEntry, submit: MessageOf<MessageType.Submit>): void {
    const offset = this.#received.get(submit.attemptId)?.length ?? 0;
    entry.inquire(submit.attemptId, offset, {
      sideIncarnation: submit.sideIncarnation,
      submitTickMs: submit.echoTickMs,
    });
  }

  #isOpen(attemptId: string): boolean {
    return !this.notRun.has(attemptId) && !this.responses.has(attemptId);
  }

  #restartEngine(): void {
    const { engine } = this.#fixture;
    engine.set({ failure: EngineFailureKind.NotSent, isReportFailing: true });
    engine.restart();
    setTimeout(() => engine.set({ failure: undefined, isReportFailing: false }), ENGINE_DOWN_MS);
  }

  /** Messages no longer reach the old process; its calls continue in the engine. */
  #restartSide(): void {
    this.#incarnation += 1;
    Object.assign(this.#fixture, startNode(this.#fixture, `s${this.#incarnation}`));
    this.#entries.forEach((_, index) => this.#reconnect(index));
  }

  #readAll(): void {
    this.#entries.forEach((entry) => this.#readNew(entry));
  }

  #readNew(entry: TestEntry): void {
    const from = this.#readCounts.get(entry) ?? 0;
    this.#readCounts.set(entry, entry.link.sent.length);
    entry.link.sent.slice(from).forEach((message) => this.#readMessage(message));
  }

  #readMessage(message: Message): void {
    if (message.type === MessageType.Refused) this.notRun.add(message.attemptId);
    if (message.type === MessageType.Failed && message.outcome === Outcome.NotRun) {
      this.notRun.add(message.attemptId);
    }
    if (message.type === MessageType.InquiryAnswer && message.state === AttemptState.Dead) {
      this.notRun.add(message.attemptId);
    }
    if (message.type === MessageType.Data) this.#readData(message);
    if (message.type === MessageType.End) this.#readEnd(message);
  }

  #readData({ attemptId, offset, data }: MessageOf<MessageType.Data>): void {
    const received = this.#received.get(attemptId) ?? new Uint8Array(0);
    if (offset !== received.length) throw new Error(`${attemptId}: response byte lost or repeated`);
    this.#received.set(attemptId, Buffer.concat([received, data]));
  }

  #readEnd({ attemptId, totalBytes }: MessageOf<MessageType.End>): void {
    const response = this.#received.get(attemptId) ?? new Uint8Array(0);
    if (response.length !== totalBytes) throw new Error(`${attemptId}: response incomplete`);
    this.responses.set(attemptId, response);
  }
}
