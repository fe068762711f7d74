/**
 * Weighted fair queue: orders waiting requests by priority, then by start-time fair queueing among
 * workspaces.
 */
import type { Queue, QueueAddOptions } from 'p-queue';

import { FairTags } from './fairTags.js';

type RunFunction = () => Promise<unknown>;

/** What determines the position of a request in the queue. */
export interface SchedulingParams {
  readonly workspace: string;
  /** Share of the workspace relative to others of the same priority. */
  readonly weight: number;
  /** Lower numbers are dequeued first; 0 is the highest priority. */
  readonly priority: number;
}

/** Options of a queued request. */
export interface FairQueueOptions extends QueueAddOptions {
  readonly workspace?: string;
  readonly weight?: number;
}

interface Item extends SchedulingParams {
  readonly run: RunFunction;
  readonly id: string;
  readonly startTag: number;
}

/** Waiting requests of one priority, sorted by start tag. */
interface Level {
  readonly tags: FairTags;
  readonly items: Item[];
}

/** Finds the position after all items whose start tag is at most the given one. */
function findPosition(items: readonly Item[], startTag: number): number {
  let low = 0;
  let high = items.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if ((items[middle] as Item).startTag <= startTag) low = middle + 1;
    else high = middle;
  }
  return low;
}

/** Counts the requests of each workspace, divided by its weight. */
function sumQueueShares(requests: readonly SchedulingParams[]): ReadonlyMap<string, number> {
  const shares = new Map<string, number>();
  requests.forEach(({ workspace, weight }) => {
    shares.set(workspace, (shares.get(workspace) ?? 0) + 1 / weight);
  });
  return shares;
}

/** Queue implementation for p-queue. */
export class FairQueue implements Queue<RunFunction, FairQueueOptions> {
  readonly #levels = new Map<number, Level>();

  #size = 0;

  /** Number of waiting requests. */
  get size(): number {
    return this.#size;
  }

  /** Adds a request; lower priority numbers are dequeued first. */
  enqueue(run: RunFunction, options: Partial<FairQueueOptions> = {}): void {
    const { workspace = '', weight = 1, priority = 0, id = '' } = options;
    const level = this.#getOrCreateLevel(priority);
    const startTag = level.tags.assign(workspace, 1 / weight);
    const item = { run, id, workspace, weight, priority, startTag };
    level.items.splice(findPosition(level.items, startTag), 0, item);
    this.#size += 1;
  }

  /** Removes and returns the next request. */
  dequeue(): RunFunction | undefined {
    const level = this.#levels.get(Math.min(...this.#levels.keys()));
    const item = level?.items.shift();
    if (!level || !item) return undefined;
    this.#size -= 1;
    level.tags.noteServed(item.startTag, level.items.length);
    this.#deleteIfEmpty(item.priority, level);
    return item.run;
  }

  /** Lists the waiting requests of one priority. */
  filter(options: Readonly<Partial<FairQueueOptions>>): RunFunction[] {
    return (this.#levels.get(options.priority ?? 0)?.items ?? []).map((item) => item.run);
  }

  /** Moves a waiting request to another priority. */
  setPriority(id: string, priority: number): void {
    const item = this.#extract((each) => each.id === id);
    if (item) this.enqueue(item.run, { ...item, priority });
  }

  /** Removes a waiting request. */
  remove(idOrRun: string | RunFunction): void {
    this.#extract((item) => item.id === idOrRun || item.run === idOrRun);
  }

  /** Lists the ids of the waiting requests in dequeue order. */
  listIds(): readonly string[] {
    const levels = [...this.#levels].sort(([one], [other]) => one - other);
    return levels.flatMap(([, level]) => level.items.map((item) => item.id));
  }

  /** Counts the waiting requests that would be dequeued before a new one. */
  countAhead(candidate: SchedulingParams): number {
    const counts = [...this.#levels].map(([priority, level]) => {
      if (priority > candidate.priority) return 0;
      if (priority < candidate.priority) return level.items.length;
      return findPosition(level.items, level.tags.peek(candidate.workspace));
    });
    return counts.reduce((sum, count) => sum + count, 0);
  }

  /**
   * Finds the waiting request to evict for a new one when the queue is full: among the requests of
   * the lowest priority, the newest of the workspace with the most requests for its weight.
   *
   * @returns the id of the request to evict; undefined if the new one should be refused instead
   */
  findVictim(candidate: SchedulingParams): string | undefined {
    const lowest = Math.max(...this.#levels.keys());
    const items = this.#levels.get(lowest)?.items ?? [];
    if (lowest < candidate.priority) return undefined;

    const isEqual = lowest === candidate.priority;
    const shares = sumQueueShares(isEqual ? [...items, candidate] : items);
    const [largest] = [...shares].sort(([, a], [, b]) => b - a)[0] ?? [];
    if (isEqual && largest === candidate.workspace) return undefined;
    return items.filter((item) => item.workspace === largest).pop()?.id;
  }

  #getOrCreateLevel(priority: number): Level {
    const known = this.#levels.get(priority);
    if (known) return known;
    const level: Level = { tags: new FairTags(), items: [] };
    this.#levels.set(priority, level);
    return level;
  }

  #extract(isWanted: (item: Item) => boolean): Item | undefined {
    const all = [...this.#levels.values()].flatMap((level) => level.items);
    const item = all.find((each) => isWanted(each));
    const level = item && this.#levels.get(item.priority);
    if (!item || !level) return undefined;

    level.items.splice(level.items.indexOf(item), 1);
    this.#size -= 1;
    level.tags.revoke(item.workspace, item.startTag, 1 / item.weight);
    this.#deleteIfEmpty(item.priority, level);
    return item;
  }

  /** Deletes an empty level with its tags: without waiting requests they order nothing. */
  #deleteIfEmpty(priority: number, level: Level): void {
    if (level.items.length === 0) this.#levels.delete(priority);
  }
}
