/** Entries that lend each other tokens of one workspace, under a fake clock. */
import { WorkspaceShares } from '../../src/limits/workspaceShares.js';
import { MessageType } from '../../src/messages/message.js';
import { CountingMetrics } from '../../src/ports/countingMetrics.js';
import { EntryBoard } from '../../src/state/entryBoard.js';
import { FakeLink } from '../entry/fakeLink.js';

export const LIMIT_PER_SECOND = 30;
export const BURST = 30;

function createWorkspace(name: string) {
  const limits = { requestsPerSecond: LIMIT_PER_SECOND, burst: BURST, weight: 1 };
  return { name, orders: [], keySha256: '0'.repeat(64), ...limits };
}

/** One entry of the fixture. */
interface Entry {
  readonly board: EntryBoard;
  readonly shares: WorkspaceShares;
}

/** Several entries that are all linked to each other. */
export class SharesFixture {
  readonly entries: readonly Entry[];

  readonly admittedAtMs: number[] = [];

  /** Number of messages that were delivered. */
  deliveredCount = 0;

  constructor(count: number) {
    this.entries = Array.from({ length: count }, (_, index) => {
      const board = new EntryBoard(`entry-${index}`, 'i1', 'zone-a', 'main');
      const value = createWorkspace('choir');
      board.config.apply([{ key: 'config/workspace/choir', version: 1, value }], 1, true);
      return { board, shares: new WorkspaceShares({ board, metrics: new CountingMetrics() }) };
    });
    this.entries.forEach(({ board }, from) => {
      this.entries.forEach((_, to) => {
        if (from !== to) SharesFixture.#link(board, to);
      });
    });
  }

  static #link(board: EntryBoard, to: number): void {
    const name = `entry-${to}`;
    const times = { lastReceivedAtMs: 0, configRevision: 1 };
    board.peers.set(name, { name, address: '', incarnation: 'i1', link: new FakeLink(), ...times });
  }

  /** @returns whether the request was admitted */
  request(entry: number, workspace = 'choir'): boolean {
    const waitMs = this.entries[entry]?.shares.take(createWorkspace(workspace), Date.now());
    if (waitMs === 0) this.admittedAtMs.push(Date.now());
    return waitMs === 0;
  }

  /** Delivers all messages that have been sent, except those that are lost. */
  deliver(isLost: () => boolean = () => false): void {
    this.entries.forEach(({ board }, from) => {
      board.peers.forEach(({ name, link }) => {
        const to = this.entries.findIndex((entry) => entry.board.name === name);
        const outbox = link instanceof FakeLink ? link.outbox.splice(0) : [];
        outbox
          .filter(() => !isLost())
          .forEach((message) => {
            const back = this.entries[to]?.board.peers.get(`entry-${from}`)?.link;
            const isShare =
              message.type === MessageType.ShareRequest || message.type === MessageType.ShareGrant;
            if (!isShare || !back) return;
            this.deliveredCount += 1;
            this.entries[to]?.shares.onShareMessage(`entry-${from}`, back, message);
          });
      });
    });
  }

  /** Closes all links, as a network partition does. */
  cutAll(): void {
    this.entries.forEach(({ board }) => board.peers.forEach((peer) => peer.link?.close('cut')));
  }
}
