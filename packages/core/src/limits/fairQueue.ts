/**
 * Order in which waiting requests are let in: by priority, and fairly between workspaces.
 *
 * Start-time fair queueing (Goyal, Vin and Cheng, 1996): each request gets a start tag that is the
 * later of the queue's virtual time and the finish tag of its workspace's previous request; the
 * smallest start tag goes first. A workspace that floods only moves its own tags ahead.
 */
import type { Queue, QueueAddOptions } from 'p-queue';

type RunFunction = () => Promise<unknown>;

/** Options of one waiting request. */
export interface FairQueueOptions extends QueueAddOptions {
  readonly workspace?: string;
  readonly weight?: number;
}

interface Item {
  readonly run: RunFunction;
  readonly id: string | undefined;
  readonly priority: number;
  readonly startTag: number;
  readonly sequence: number;
}

/** Requests of one priority. */
interface Level {
  virtualTime: number;
  /** Finish tag of each workspace's last request, where it is ahead of the virtual time. */
  readonly finishTags: Map<string, number>;
  readonly items: Item[];
}

function isBefore(a: Item, b: Item): boolean {
  return a.startTag < b.startTag || (a.startTag === b.startTag && a.sequence < b.sequence);
}

/** Position at which an item keeps the list sorted. */
function findPosition(items: readonly Item[], item: Item): number {
  let low = 0;
  let high = items.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if (isBefore(items[middle] as Item, item)) low = middle + 1;
    else high = middle;
  }
  return low;
}

/** Queue class for p-queue. */
export class FairQueue implements Queue<RunFunction, FairQueueOptions> {
  readonly #levels = new Map<number, Level>();

  #size = 0;

  #sequence = 0;

  get size(): number {
    return this.#size;
  }

  /** Takes a request in; a lower priority number is let in first. */
  enqueue(run: RunFunction, options: Partial<FairQueueOptions> = {}): void {
    const { workspace = '', weight = 1, priority = 0, id } = options;
    const level = this.#openLevel(priority);
    const startTag = Math.max(level.virtualTime, level.finishTags.get(workspace) ?? 0);
    level.finishTags.set(workspace, startTag + 1 / weight);
    this.#sequence += 1;
    this.#insert(level, { run, id, priority, startTag, sequence: this.#sequence });
  }

  /** Takes the next request out. */
  dequeue(): RunFunction | undefined {
    const priority = Math.min(...this.#levels.keys());
    const level = this.#levels.get(priority);
    const item = level?.items.shift();
    if (!level || !item) return undefined;
    this.#size -= 1;
    level.virtualTime = item.startTag;
    this.#closeLevel(priority, level);
    return item.run;
  }

  /** Waiting requests of one priority. */
  filter(options: Readonly<Partial<FairQueueOptions>>): RunFunction[] {
    return (this.#levels.get(options.priority ?? 0)?.items ?? []).map((item) => item.run);
  }

  /** Moves a waiting request to another priority, behind those that wait there. */
  setPriority(id: string, priority: number): void {
    const run = this.#take((item) => item.id === id);
    if (run) this.enqueue(run, { id, priority });
  }

  /** Takes a waiting request out of turn. */
  remove(idOrRun: string | RunFunction): void {
    this.#take((item) => item.id === idOrRun || item.run === idOrRun);
  }

  #openLevel(priority: number): Level {
    const known = this.#levels.get(priority);
    if (known) return known;
    const level: Level = { virtualTime: 0, finishTags: new Map(), items: [] };
    this.#levels.set(priority, level);
    return level;
  }

  #insert(level: Level, item: Item): void {
    level.items.splice(findPosition(level.items, item), 0, item);
    this.#size += 1;
  }

  #take(isWanted: (item: Item) => boolean): RunFunction | undefined {
    const found = [...this.#levels.values()]
      .flatMap((level) => level.items)
      .find((item) => isWanted(item));
    const level = found && this.#levels.get(found.priority);
    if (!found || !level) return undefined;
    level.items.splice(level.items.indexOf(found), 1);
    this.#size -= 1;
    this.#closeLevel(found.priority, level);
    return found.run;
  }

  /** An empty level needs no tags: nobody waits whom they could put ahead or behind. */
  #closeLevel(priority: number, level: Level): void {
    if (level.items.length === 0) this.#levels.delete(priority);
  }
}
