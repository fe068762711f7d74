/** One run of the limits bench: entries that admit requests of one workspace. */
import { install } from '@sinonjs/fake-timers';

import { ConfigKind, type Workspace } from '@radishbay/core/config/object.js';
import { WorkspaceLimiter } from '@radishbay/core/limits/workspaceLimiter.js';
import { WorkspaceShares } from '@radishbay/core/limits/workspaceShares.js';
import { MessageType } from '@radishbay/core/messages/message.js';
import { CountingMetrics } from '@radishbay/core/ports/countingMetrics.js';
import type { Link } from '@radishbay/core/ports/link.js';
import { Random } from '@radishbay/core/ports/random.js';
import { EntryBoard } from '@radishbay/core/state/entryBoard.js';

import { RelayLink } from './relayLink.js';

export enum LimitsMethod {
  /** One bucket for all entries together, as nobody can have it. */
  OneBucket = 'one bucket',
  EqualShares = 'equal shares',
  LentShares = 'lent shares',
}

export enum Skew {
  Even = 'even',
  Geometric = 'half, quarter, ...',
  OneEntry = 'one entry',
  /** All to one entry, another one every few seconds. */
  Moving = 'one, moving',
}

export interface LimitsScenario {
  readonly method: LimitsMethod;
  readonly skew: Skew;
  readonly entries: number;
  /** Requests offered for each that the limit allows. */
  readonly demand: number;
  readonly lossShare: number;
}

export interface LimitsFigures {
  readonly offered: number;
  readonly admitted: number;
  readonly messages: number;
  /** Largest number admitted in one second. */
  readonly peakPerSecond: number;
}

export const LIMIT_PER_SECOND = 100;
export const BURST = 100;

const RUN_MS = 60_000;
const MOVE_MS = 5_000;
const WAY_MS = 1;
const MS_PER_SECOND = 1_000;

const WORKSPACE = {
  name: 'choir',
  orders: [],
  keySha256: '0'.repeat(64),
  requestsPerSecond: LIMIT_PER_SECOND,
  burst: BURST,
  weight: 1,
};

function createBoard(name: string): EntryBoard {
  const board = new EntryBoard(name, 'i1', 'zone-a', 'main');
  const key = `config/${ConfigKind.Workspace}/${WORKSPACE.name}`;
  board.config.apply([{ key, version: 1, value: WORKSPACE }], 1, true);
  return board;
}

/** One run. */
export class LimitsRun {
  readonly #scenario: LimitsScenario;

  readonly #random: Random;

  readonly #boards: readonly EntryBoard[];

  readonly #shares: readonly WorkspaceShares[];

  readonly #limiters: readonly WorkspaceLimiter[];

  readonly #admittedAtMs: number[] = [];

  #offered = 0;

  #messages = 0;

  private constructor(scenario: LimitsScenario, seed: number) {
    this.#scenario = scenario;
    this.#random = new Random(seed);
    const names = Array.from({ length: scenario.entries }, (_, index) => `entry-${index}`);
    this.#boards = names.map(createBoard);
    this.#shares = this.#boards.map(
      (board) => new WorkspaceShares({ board, metrics: new CountingMetrics() }),
    );
    this.#limiters = names.map(() => new WorkspaceLimiter());
    this.#boards.forEach((_, from) => this.#boards.forEach((__, to) => this.#link(from, to)));
  }

  /** Runs all simulated time. */
  static run(scenario: LimitsScenario, seed: number): LimitsFigures {
    const clock = install({ now: 0, toFake: ['setTimeout', 'clearTimeout', 'Date'] });
    try {
      const run = new LimitsRun(scenario, seed);
      run.#arriveLater(0);
      while (Date.now() < RUN_MS) clock.tick(MS_PER_SECOND);
      return run.#summarise();
    } finally {
      clock.uninstall();
    }
  }

  #link(from: number, to: number): void {
    if (from === to) return;
    this.#boards[from]?.peers.set(`entry-${to}`, {
      name: `entry-${to}`,
      address: '',
      incarnation: 'i1',
      link: this.#createLink(from, to),
      lastReceivedAtMs: 0,
      configRevision: 1,
    });
  }

  #createLink(from: number, to: number): Link {
    return new RelayLink((message) => {
      this.#messages += 1;
      if (this.#random.next() < this.#scenario.lossShare) return;
      if (message.type !== MessageType.ShareRequest && message.type !== MessageType.ShareGrant) {
        return;
      }
      setTimeout(() => {
        const back = this.#createLink(to, from);
        this.#shares[to]?.onShareMessage(`entry-${from}`, back, message);
      }, WAY_MS);
    });
  }

  #arriveLater(dueMs: number): void {
    const meanMs = MS_PER_SECOND / (LIMIT_PER_SECOND * this.#scenario.demand);
    const nextMs = dueMs - Math.log(1 - this.#random.next()) * meanMs;
    setTimeout(() => {
      this.#arrive();
      this.#arriveLater(nextMs);
    }, nextMs - Date.now());
  }

  #arrive(): void {
    this.#offered += 1;
    if (this.#take(this.#drawEntry()) === 0) this.#admittedAtMs.push(Date.now());
  }

  #take(entry: number): number {
    const { method, entries } = this.#scenario;
    const workspace: Workspace = WORKSPACE;
    if (method === LimitsMethod.LentShares) {
      return this.#shares[entry]?.take(workspace, Date.now()) ?? 1;
    }
    const isShared = method === LimitsMethod.OneBucket;
    const limiter = this.#limiters[isShared ? 0 : entry];
    return limiter?.take(workspace, isShared ? 1 : entries, Date.now()) ?? 1;
  }

  #drawEntry(): number {
    const { skew, entries } = this.#scenario;
    if (skew === Skew.OneEntry) return 0;
    if (skew === Skew.Moving) return Math.floor(Date.now() / MOVE_MS) % entries;
    if (skew === Skew.Even) return this.#random.nextInt(entries);
    const halvings = Math.floor(-Math.log2(1 - this.#random.next()));
    return Math.min(entries - 1, halvings);
  }

  #summarise(): LimitsFigures {
    let first = 0;
    let peakPerSecond = 0;
    this.#admittedAtMs.forEach((atMs, index) => {
      while ((this.#admittedAtMs[first] ?? 0) <= atMs - MS_PER_SECOND) first += 1;
      peakPerSecond = Math.max(peakPerSecond, index - first + 1);
    });
    const admitted = this.#admittedAtMs.length;
    return { offered: this.#offered, admitted, messages: this.#messages, peakPerSecond };
  }
}
