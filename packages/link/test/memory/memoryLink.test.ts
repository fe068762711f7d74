import FakeTimers, { type Clock } from '@sinonjs/fake-timers';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { MessageType, type Message } from '@radishbay/core/messages/message.js';
import type { Link } from '@radishbay/core/ports/link.js';

import {
  NO_FAULT,
  LinkFaultKind,
  LinkFaultInjector,
  type LinkFault,
  type LinkEvent,
} from '../../src/memory/linkFaults.js';
import { MemoryDialer } from '../../src/memory/memoryDialer.js';

const ADDRESS = '127.0.0.1:7100';
const DELAY_MS = 5;

class ScriptedFaults extends LinkFaultInjector {
  readonly events: LinkEvent[] = [];

  readonly #faultsBySequence: ReadonlyMap<number, LinkFault>;

  /** @param faultsBySequence faults by the sequence number of the message */
  constructor(faultsBySequence: ReadonlyMap<number, LinkFault>) {
    super();
    this.#faultsBySequence = faultsBySequence;
  }

  decide(event: LinkEvent): LinkFault {
    this.events.push(event);
    return this.#faultsBySequence.get(event.sequence) ?? NO_FAULT;
  }
}

interface LinkEnds {
  readonly clock: Clock;
  readonly near: Link;
  readonly far: Link;
  readonly faults: ScriptedFaults;
  /** Messages received at either end, in order. */
  readonly received: string[];
  /** Names of the ends that were notified of a close, in order. */
  readonly closes: string[];
}

function createCredit(upToOffset: number): Message {
  return { type: MessageType.Credit, attemptId: 'a', upToOffset };
}

function formatMessage(message: Message): string {
  return message.type === MessageType.Credit ? String(message.upToOffset) : message.type;
}

async function withLink(
  faultsBySequence: ReadonlyMap<number, LinkFault>,
  run: (ends: LinkEnds) => Promise<void>,
): Promise<void> {
  const clock = FakeTimers.install({ toNotFake: ['queueMicrotask', 'nextTick'] });
  const faults = new ScriptedFaults(faultsBySequence);
  const dialer = new MemoryDialer({ delayMs: DELAY_MS, faults });
  const received: string[] = [];
  const closes: string[] = [];
  const links: Link[] = [];
  dialer.listen(ADDRESS, (link) => links.push(link));
  const near = dialer.dial(ADDRESS);
  await clock.tickAsync(DELAY_MS);
  const far = links[0] ?? near;
  const listen = (link: Link, name: string): void =>
    link.listen({
      onOpen: () => {},
      onMessage: (message) => received.push(formatMessage(message)),
      onClose: () => closes.push(name),
    });
  listen(near, 'near');
  listen(far, 'far');
  try {
    await run({ clock, near, far, faults, received, closes });
  } finally {
    clock.uninstall();
  }
}

function createSingleFault(
  sequence: number,
  kind: LinkFaultKind,
  extraDelayMs = 0,
): ReadonlyMap<number, LinkFault> {
  return new Map([[sequence, { kind, extraDelayMs }]]);
}

/** Sends credits with offsets 1, 2 and 3 and waits until they are delivered. */
async function sendThreeMessages({ near, clock }: LinkEnds): Promise<void> {
  [1, 2, 3].forEach((offset) => near.send(createCredit(offset)));
  await clock.tickAsync(1_000);
}

test('messages are numbered and delivered in order, behind a delayed one', () =>
  withLink(createSingleFault(1, LinkFaultKind.Deliver, 100), async (ends) => {
    ends.near.send(createCredit(1));
    ends.near.send(createCredit(2));
    await ends.clock.tickAsync(DELAY_MS + 99);
    assert.equal(ends.received, []);
    await ends.clock.tickAsync(1);
    assert.equal(ends.received, ['1', '2']);
    assert.equal(
      ends.faults.events.map(({ sequence }) => sequence),
      [1, 2],
    );
  }));

test('a message is copied, so that the two ends never share an object', () =>
  withLink(new Map(), async ({ near, faults }) => {
    const data = Uint8Array.of(1);
    near.send({ type: MessageType.Data, attemptId: 'a', offset: 0, data });
    data[0] = 2;
    const [event] = faults.events;
    assert.is(event?.message.type === MessageType.Data && event.message.data[0], 1);
  }));

interface FaultCase {
  readonly kind: LinkFaultKind;
  readonly received: readonly string[];
  readonly closes: readonly string[];
}

const FAULTS: readonly FaultCase[] = [
  { kind: LinkFaultKind.Drop, received: ['1', '3'], closes: [] },
  { kind: LinkFaultKind.Repeat, received: ['1', '2', '2', '3'], closes: [] },
  { kind: LinkFaultKind.Silence, received: [], closes: [] },
  { kind: LinkFaultKind.Cut, received: [], closes: ['near', 'far'] },
  { kind: LinkFaultKind.CutSender, received: [], closes: ['near'] },
  { kind: LinkFaultKind.CutReceiver, received: [], closes: ['far'] },
];

FAULTS.forEach(({ kind, received, closes }) => {
  test(`the fault ${kind} applies to the selected message`, () =>
    withLink(createSingleFault(2, kind), async (ends) => {
      await sendThreeMessages(ends);
      assert.equal(ends.received, received);
      assert.equal(ends.closes, closes);
    }));
});

test('a close is delivered after the messages sent before it', () =>
  withLink(new Map(), async (ends) => {
    ends.near.send(createCredit(1));
    ends.near.close('done');
    await ends.clock.tickAsync(DELAY_MS);
    assert.equal(ends.received, ['1']);
    assert.equal(ends.closes, ['near', 'far']);
  }));

test('dialing an address without a listener closes the link', async () => {
  const clock = FakeTimers.install();
  const closes: string[] = [];
  const link = new MemoryDialer({ delayMs: DELAY_MS }).dial(ADDRESS);
  link.listen({ onOpen: () => {}, onMessage: () => {}, onClose: (detail) => closes.push(detail) });
  await clock.tickAsync(DELAY_MS);
  clock.uninstall();
  assert.is(closes.length, 1);
});

test.run();
