import FakeTimers, { type Clock } from '@sinonjs/fake-timers';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { MessageType, type Message } from '@radishbay/core/messages/message.js';
import type { Link } from '@radishbay/core/ports/link.js';

import {
  DELIVERED,
  FateKind,
  LinkFaults,
  type Fate,
  type LinkEvent,
} from '../../src/memory/linkFaults.js';
import { MemoryDialer } from '../../src/memory/memoryDialer.js';

const ADDRESS = '127.0.0.1:7100';
const DELAY_MS = 5;

class ListedFaults extends LinkFaults {
  readonly events: LinkEvent[] = [];

  readonly #fates: ReadonlyMap<number, Fate>;

  /** @param fates fates by the number of the message */
  constructor(fates: ReadonlyMap<number, Fate>) {
    super();
    this.#fates = fates;
  }

  decide(event: LinkEvent): Fate {
    this.events.push(event);
    return this.#fates.get(event.sequence) ?? DELIVERED;
  }
}

interface Ends {
  readonly clock: Clock;
  readonly near: Link;
  readonly far: Link;
  readonly faults: ListedFaults;
  /** What the accepting end hears, in order. */
  readonly heard: string[];
  /** Details of the closes that the ends hear. */
  readonly closes: string[];
}

function makeCredit(upToOffset: number): Message {
  return { type: MessageType.Credit, attemptId: 'a', upToOffset };
}

function readCredit(message: Message): string {
  return message.type === MessageType.Credit ? String(message.upToOffset) : message.type;
}

async function withLink(
  fates: ReadonlyMap<number, Fate>,
  run: (ends: Ends) => Promise<void>,
): Promise<void> {
  const clock = FakeTimers.install({ toNotFake: ['queueMicrotask', 'nextTick'] });
  const faults = new ListedFaults(fates);
  const dialer = new MemoryDialer({ delayMs: DELAY_MS, faults });
  const heard: string[] = [];
  const closes: string[] = [];
  const links: Link[] = [];
  dialer.listen(ADDRESS, (link) => links.push(link));
  const near = dialer.dial(ADDRESS);
  await clock.tickAsync(DELAY_MS);
  const far = links[0] ?? near;
  const listen = (link: Link, name: string): void =>
    link.listen({
      onOpen: () => {},
      onMessage: (message) => heard.push(readCredit(message)),
      onClose: () => closes.push(name),
    });
  listen(near, 'near');
  listen(far, 'far');
  try {
    await run({ clock, near, far, faults, heard, closes });
  } finally {
    clock.uninstall();
  }
}

function oneFate(sequence: number, kind: FateKind, extraDelayMs = 0): ReadonlyMap<number, Fate> {
  return new Map([[sequence, { kind, extraDelayMs }]]);
}

/** Sends 1, 2 and 3 and waits for them to arrive. */
async function sendThree({ near, clock }: Ends): Promise<void> {
  [1, 2, 3].forEach((offset) => near.send(makeCredit(offset)));
  await clock.tickAsync(1_000);
}

test('messages arrive after the delay, numbered, and later ones wait behind a late one', () =>
  withLink(oneFate(1, FateKind.Deliver, 100), async (ends) => {
    ends.near.send(makeCredit(1));
    ends.near.send(makeCredit(2));
    await ends.clock.tickAsync(DELAY_MS + 99);
    assert.equal(ends.heard, []);
    await ends.clock.tickAsync(1);
    assert.equal(ends.heard, ['1', '2']);
    assert.equal(
      ends.faults.events.map(({ sequence }) => sequence),
      [1, 2],
    );
  }));

test('the two ends never share an object', () =>
  withLink(new Map(), async ({ near, faults }) => {
    const data = Uint8Array.of(1);
    near.send({ type: MessageType.Data, attemptId: 'a', offset: 0, data });
    data[0] = 2;
    const [event] = faults.events;
    assert.is(event?.message.type === MessageType.Data && event.message.data[0], 1);
  }));

interface FaultCase {
  readonly kind: FateKind;
  readonly heard: readonly string[];
  readonly closes: readonly string[];
}

const FAULTS: readonly FaultCase[] = [
  { kind: FateKind.Drop, heard: ['1', '3'], closes: [] },
  { kind: FateKind.Repeat, heard: ['1', '2', '2', '3'], closes: [] },
  { kind: FateKind.Silence, heard: [], closes: [] },
  { kind: FateKind.Cut, heard: [], closes: ['near', 'far'] },
  { kind: FateKind.CutSender, heard: [], closes: ['near'] },
  { kind: FateKind.CutReceiver, heard: [], closes: ['far'] },
];

FAULTS.forEach(({ kind, heard, closes }) => {
  test(`the fate ${kind} strikes the message that it names`, () =>
    withLink(oneFate(2, kind), async (ends) => {
      await sendThree(ends);
      assert.equal(ends.heard, heard);
      assert.equal(ends.closes, closes);
    }));
});

test('an ordinary close arrives behind the messages sent before it', () =>
  withLink(new Map(), async (ends) => {
    ends.near.send(makeCredit(1));
    ends.near.close('done');
    await ends.clock.tickAsync(DELAY_MS);
    assert.equal(ends.heard, ['1']);
    assert.equal(ends.closes, ['near', 'far']);
  }));

test('dialling an address where nobody listens closes the link', async () => {
  const clock = FakeTimers.install();
  const closes: string[] = [];
  const link = new MemoryDialer({ delayMs: DELAY_MS }).dial(ADDRESS);
  link.listen({ onOpen: () => {}, onMessage: () => {}, onClose: (detail) => closes.push(detail) });
  await clock.tickAsync(DELAY_MS);
  clock.uninstall();
  assert.is(closes.length, 1);
});

test.run();
