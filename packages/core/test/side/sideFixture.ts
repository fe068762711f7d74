/** Starts a side process with a fake engine under a fake clock. */
import FakeTimers, { type Clock } from '@sinonjs/fake-timers';

import { ConfigKind, formatConfigKey } from '../../src/config/object.js';
import { MessageType, type MessageOf } from '../../src/messages/message.js';
import { DEFAULT_TIMING } from '../../src/model/timing.js';
import { Random } from '../../src/ports/random.js';
import { SideNode } from '../../src/side/sideNode.js';
import { SideBoard } from '../../src/state/sideBoard.js';
import { CountingMetrics } from '../../src/ports/countingMetrics.js';

import { FakeEngine } from './fakeEngine.js';
import { TOKEN, TestEntry } from './testEntry.js';

/** Time after which a new side process knows how much work its engine has in flight. */
export const SETTLE_MS = 1_500;

export interface SideFixture {
  readonly clock: Clock;
  readonly engine: FakeEngine;
  readonly metrics: CountingMetrics;
  board: SideBoard;
  node: SideNode;
}

export interface FixtureOptions {
  readonly isPlain?: boolean;
  readonly coldLimit?: number;
  readonly warmLimit?: number;
}

interface DomainChange {
  readonly state: string;
  readonly moveAfterMs?: number;
  readonly version?: number;
}

const SEED = 7;

function makeDomain({ state, moveAfterMs = 0, version = 3 }: DomainChange) {
  const value = { name: 'zone-a', state, moveAfterMs };
  return { key: formatConfigKey(ConfigKind.Domain, 'zone-a'), version, value };
}

function makeUpstream(options: FixtureOptions) {
  const { coldLimit = 2, warmLimit = 8 } = options;
  const value = {
    name: 'u1',
    pool: 'p',
    domain: 'zone-a',
    address: '127.0.0.1:7100',
    coldLimit,
    warmLimit,
  };
  return { key: formatConfigKey(ConfigKind.Upstream, 'u1'), version: 1, value };
}

/** Builds the configuration message that changes the state of the failure domain. */
export function makeDomainChange(change: DomainChange): MessageOf<MessageType.ConfigObjects> {
  const objects = [makeDomain(change)];
  return {
    type: MessageType.ConfigObjects,
    revision: objects[0]?.version ?? 3,
    isFull: false,
    objects,
  };
}

/** Starts a side process for an engine that is already running. */
export function startNode(
  fixture: Pick<SideFixture, 'engine' | 'metrics'>,
  incarnation: string,
  options: FixtureOptions = {},
): Pick<SideFixture, 'board' | 'node'> {
  const board = new SideBoard('u1', incarnation, 'zone-a');
  board.config.apply(
    [makeUpstream(options), makeDomain({ state: 'active', version: 2 })],
    2,
    false,
  );
  const node = new SideNode({
    board,
    engine: fixture.engine,
    random: new Random(SEED),
    log: { write: () => {} },
    metrics: fixture.metrics,
    timing: DEFAULT_TIMING,
    linkToken: TOKEN,
    isPlain: options.isPlain ?? false,
  });
  node.start();
  return { board, node };
}

/** Runs a test against a side process that is ready for work. */
export async function withSide(
  run: (fixture: SideFixture, entry: TestEntry) => Promise<void>,
  options: FixtureOptions = {},
): Promise<void> {
  const clock = FakeTimers.install({ toNotFake: ['queueMicrotask', 'nextTick'] });
  try {
    const shared = { engine: new FakeEngine(), metrics: new CountingMetrics() };
    const fixture = { clock, ...shared, ...startNode(shared, 's1', options) };
    const entry = new TestEntry('entry-1');
    entry.connect(fixture.node);
    await clock.tickAsync(SETTLE_MS);
    await run(fixture, entry);
  } finally {
    clock.uninstall();
  }
}
