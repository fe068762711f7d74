/**
 * Two entries, two side processes and the platform under random interleavings of messages and
 * faults.
 *
 * Each direction of each link is a queue. Steps deliver, lose, duplicate or reorder its messages.
 * Messages in flight to a side process when its link is cut may still arrive later.
 */
import type { Message } from '../../src/messages/message.js';
import { RefusalReason } from '../../src/model/reason.js';

import { EntryFixture } from './entryFixture.js';
import { FakeCaller } from './fakeCaller.js';
import type { FakeSide } from './fakeSide.js';
import type { TestClock } from './scenario.js';

/** Messages in flight between one entry and one side process, in both directions. */
interface Wire {
  readonly entry: EntryFixture;
  readonly side: FakeSide;
  toSide: Message[];
  toEntry: Message[];
}

/** One request as sent by a caller. */
export interface Submission {
  /** Common prefix of the ids of its attempts. */
  readonly attemptPrefix: string;
  readonly body: string;
  readonly path: string;
  readonly isRepeatable: boolean;
  readonly caller: FakeCaller;
  readonly entry: EntryFixture;
  isHungUp: boolean;
}

/** One step of an interleaving; `pick` selects the link, submission or entry it applies to. */
export interface ChaosStep {
  readonly action: keyof typeof ACTIONS;
  readonly pick: number;
}

const SHORT_DEADLINE_MS = 700;

const PATHS = ['/v1/completions', '/v1/swaps/1', '/v1/swaps/2'];

function swapFirst(queue: Message[]): Message[] {
  const [first, second, ...rest] = queue;
  return first && second ? [second, first, ...rest] : queue;
}

function deliverToSide(wire: Wire | undefined): void {
  const message = wire?.toSide.shift();
  if (!wire || !message) return;
  wire.toEntry.push(...wire.side.receive(message, wire.entry.board.name));
}

function deliverToEntry(wire: Wire): void {
  const message = wire.toEntry.shift();
  if (message) wire.entry.receive(wire.side.upstream, [message]);
}

function repeat(pick: number, wire: Wire): void {
  const queue = pick % 8 < 4 ? wire.toSide : wire.toEntry;
  if (queue[0]) queue.unshift(queue[0]);
}

function reorder(wire: Wire): void {
  Object.assign(wire, { toSide: swapFirst(wire.toSide), toEntry: swapFirst(wire.toEntry) });
}

function toggleGate(side: FakeSide): void {
  Object.assign(side, { gateReason: side.gateReason ? undefined : RefusalReason.UpstreamFull });
}

/** Actions of a step, with the relative frequency of each. */
const ACTIONS = {
  submit: 4,
  retry: 4,
  toSide: 8,
  toEntry: 8,
  answer: 8,
  wait: 4,
  lose: 1,
  repeat: 1,
  reorder: 1,
  cut: 2,
  open: 3,
  deliverLate: 2,
  restart: 1,
  hangUp: 1,
  platform: 1,
  loseWrite: 1,
  gate: 2,
  kill: 1,
};

export const ACTION_WEIGHTS = ACTIONS;

/** Applies steps, and at the end lets everything in flight complete. */
export class ChaosFixture {
  readonly submissions: Submission[] = [];

  readonly entries: readonly EntryFixture[];

  readonly killed = new Set<EntryFixture>();

  readonly #clock: TestClock;

  readonly #wires: Wire[];

  readonly #late: Wire[] = [];

  constructor(clock: TestClock) {
    this.#clock = clock;
    const first = new EntryFixture();
    const second = new EntryFixture('entry-2', first.store, new Map(first.sides));
    this.entries = [first, second];
    this.#wires = this.entries.flatMap((entry) =>
      [...entry.sides.values()].map((side) => ({ entry, side, toSide: [], toEntry: [] })),
    );
  }

  get sides(): readonly FakeSide[] {
    return [...(this.entries[0]?.sides.values() ?? [])];
  }

  /** Takes one step and lets pending promises settle. */
  async apply({ action, pick }: ChaosStep): Promise<void> {
    const wire = this.#wires[pick % this.#wires.length] as Wire;
    this.#act(action, pick, wire);
    await this.#clock.tickAsync(action === 'wait' ? pick * 10 : 0);
    this.#collectOutboxes();
  }

  /** Ends all faults and exchanges messages until every request has had time to end. */
  async settle(rounds = 60): Promise<void> {
    Object.assign(this.entries[0]?.store ?? {}, { isDown: false, lostAnswers: 0 });
    this.sides.forEach((side) => Object.assign(side, { gateReason: undefined }));
    this.#wires.forEach((wire) => this.#open(wire));
    this.#wires.forEach((wire) => this.#exchange(wire));
    this.#late.splice(0).forEach((wire) => this.#exchange(wire));
    await this.#clock.tickAsync(500);
    this.#collectOutboxes();
    if (rounds > 0) await this.settle(rounds - 1);
  }

  #act(action: ChaosStep['action'], pick: number, wire: Wire): void {
    if (action === 'submit') this.#submit(pick);
    else if (action === 'retry') this.#retry(pick);
    else if (action === 'toSide') deliverToSide(wire);
    else if (action === 'toEntry') deliverToEntry(wire);
    else if (action === 'answer') wire.toEntry.push(...wire.side.step(wire.entry.board.name));
    else if (action === 'lose') (pick % 8 < 4 ? wire.toSide : wire.toEntry).shift();
    else if (action === 'repeat') repeat(pick, wire);
    else if (action === 'reorder') reorder(wire);
    else if (action === 'cut') this.#cut(wire);
    else if (action === 'open') this.#open(wire);
    else if (action === 'deliverLate') deliverToSide(this.#late[pick % this.#late.length]);
    else if (action === 'restart') this.#restart(wire.side);
    else if (action === 'hangUp') this.#hangUp(pick);
    else if (action === 'platform') this.#togglePlatform();
    else if (action === 'loseWrite') Object.assign(wire.entry.store, { lostAnswers: 1 });
    else if (action === 'gate') toggleGate(wire.side);
    else if (action === 'kill' && pick % 4 === 0) this.#kill(wire.entry);
  }

  #submit(pick: number): void {
    const number = this.submissions.length;
    const path = PATHS[pick % PATHS.length] as string;
    const hasKey = pick % 2 === 0;
    this.#send(pick, path, `${hasKey ? 'keyed' : 'plain'} ${number}`);
  }

  /** Sends a request with an idempotency key again, possibly to the other entry. */
  #retry(pick: number): void {
    const keyed = this.submissions.filter(({ body }) => body.startsWith('keyed'));
    const earlier = keyed[pick % keyed.length];
    if (earlier && !earlier.isRepeatable) this.#send(pick, earlier.path, earlier.body);
  }

  #send(pick: number, path: string, body: string): void {
    const alive = this.entries.filter((entry) => !this.killed.has(entry));
    const entry = alive[pick % alive.length];
    if (!entry) return;
    const number = this.submissions.length;
    const id = `s${number}`;
    const caller = new FakeCaller();
    this.submissions.push({
      attemptPrefix: `${entry.board.name}.${entry.board.incarnation}.${id}.`,
      body,
      path,
      isRepeatable: path === PATHS[0],
      caller,
      entry,
      isHungUp: false,
    });
    const idempotencyKey = body.startsWith('keyed') ? body : undefined;
    const deadlineMs = pick % 5 === 0 ? SHORT_DEADLINE_MS : undefined;
    const bytes = new TextEncoder().encode(body);
    entry.request({ id, path, body: bytes, idempotencyKey, deadlineMs }, caller);
  }

  #cut(wire: Wire): void {
    this.#late.push({ ...wire, toEntry: [] });
    Object.assign(wire, { toSide: [], toEntry: [] });
    wire.entry.cutLink(wire.side.upstream);
  }

  #open(wire: Wire): void {
    const isOpen = wire.entry.links.has(wire.side.upstream);
    if (!isOpen && !this.killed.has(wire.entry)) wire.entry.openLink(wire.side.upstream);
  }

  #restart(side: FakeSide): void {
    this.#wires.filter((wire) => wire.side === side).forEach((wire) => this.#cut(wire));
    side.restart();
  }

  #hangUp(pick: number): void {
    const submission = this.submissions[pick % this.submissions.length];
    if (!submission || submission.caller.ends.length > 0) return;
    submission.isHungUp = true;
    submission.caller.hangUp();
  }

  #togglePlatform(): void {
    const store = this.entries[0]?.store;
    if (store) store.isDown = !store.isDown;
  }

  #kill(entry: EntryFixture): void {
    if (this.killed.size > 0) return;
    this.killed.add(entry);
    this.#wires.filter((wire) => wire.entry === entry).forEach((wire) => this.#dropLink(wire));
    entry.kill();
  }

  /** Cuts the link of a killed entry: what it has sent may still arrive, it receives nothing. */
  #dropLink(wire: Wire): void {
    this.#late.push({ ...wire, toEntry: [] });
    Object.assign(wire, { toSide: [], toEntry: [] });
  }

  /** Moves the messages that the entries have sent to the wires. */
  #collectOutboxes(): void {
    this.#wires.forEach((wire) => wire.toSide.push(...wire.entry.takeOutbox(wire.side.upstream)));
  }

  #exchange(wire: Wire): void {
    wire.toSide.splice(0).forEach((message) => {
      wire.toEntry.push(...wire.side.receive(message, wire.entry.board.name));
    });
    wire.toEntry.push(...wire.side.finish(wire.entry.board.name));
    const received = wire.toEntry.splice(0);
    const isLinked = wire.entry.links.has(wire.side.upstream) && this.#wires.includes(wire);
    if (isLinked) wire.entry.receive(wire.side.upstream, received);
  }
}
