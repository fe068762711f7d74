/**
 * Order in which waiting requests are let in: by priority, and fairly between workspaces.
 *
 * Start-time fair queueing (Goyal, Vin and Cheng, 1996): each request gets a start tag that is the
 * later of the queue's virtual time and the finish tag of its workspace's previous request; the
 * smallest start tag goes first. A workspace that floods only moves its own tags ahead.
 */
import type { Queue, QueueAddOptions } from 'p-queue';

type RunFunction = () => Promise<unknown>;

/** Finish tags kept beyond the number of waiting requests before those of the past are dropped. */
const SPARE_TAGS = 64;

/** Who waits, and with what claim to a turn. */
export interface FairShare {
  readonly workspace: string;
  /** Share of the workspace against others of the same priority. */
  readonly weight: number;
  /** 0 is served first. */
  readonly priority: number;
}

/** Options of one waiting request. */
export interface FairQueueOptions extends QueueAddOptions {
  readonly workspace?: string;
  readonly weight?: number;
}

interface Item extends FairShare {
  readonly run: RunFunction;
  readonly id: string;
  readonly startTag: number;
}

/** Requests of one priority, sorted by start tag. */
interface Level {
  virtualTime: number;
  readonly finishTags: Map<string, number>;
  readonly items: Item[];
}

/** Position behind all items whose start tag is not above the given one. */
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

function readStartTag(level: Level, workspace: string): number {
  return Math.max(level.virtualTime, level.finishTags.get(workspace) ?? 0);
}

function dropPastTags(level: Level): void {
  if (level.finishTags.size < level.items.length + SPARE_TAGS) return;
  level.finishTags.forEach((tag, workspace) => {
    if (tag <= level.virtualTime) level.finishTags.delete(workspace);
  });
}

/** Places that each workspace takes up, for its weight. */
function measureShares(items: readonly FairShare[]): ReadonlyMap<string, number> {
  const shares = new Map<string, number>();
  items.forEach(({ workspace, weight }) => {
    shares.set(workspace, (shares.get(workspace) ?? 0) + 1 / weight);
  });
  return shares;
}

/** Queue class for p-queue. */
export class FairQueue implements Queue<RunFunction, FairQueueOptions> {
  readonly #levels = new Map<number, Level>();

  #size = 0;

  /** Requests that wait. */
  get size(): number {
    return this.#size;
  }

  /** Takes a request in; a lower priority number is let in first. */
  enqueue(run: RunFunction, options: Partial<FairQueueOptions> = {}): void {
    const { workspace = '', weight = 1, priority = 0, id = '' } = options;
    const level = this.#openLevel(priority);
    const startTag = readStartTag(level, workspace);
    const item = { run, id, workspace, weight, priority, startTag };
    level.items.splice(findPosition(level.items, startTag), 0, item);
    level.finishTags.set(workspace, startTag + 1 / weight);
    this.#size += 1;
  }

  /** Takes the next request out. */
  dequeue(): RunFunction | undefined {
    const level = this.#levels.get(Math.min(...this.#levels.keys()));
    const item = level?.items.shift();
    if (!level || !item) return undefined;
    this.#size -= 1;
    level.virtualTime = item.startTag;
    dropPastTags(level);
    this.#closeEmpty(item.priority, level);
    return item.run;
  }

  /** Waiting requests of one priority. */
  filter(options: Readonly<Partial<FairQueueOptions>>): RunFunction[] {
    return (this.#levels.get(options.priority ?? 0)?.items ?? []).map((item) => item.run);
  }

  /** Moves a waiting request to another priority. */
  setPriority(id: string, priority: number): void {
    const item = this.#take((each) => each.id === id);
    if (item) this.enqueue(item.run, { ...item, priority });
  }

  /** Takes a waiting request out of turn. */
  remove(idOrRun: string | RunFunction): void {
    this.#take((item) => item.id === idOrRun || item.run === idOrRun);
  }

  /** Ids of the waiting requests, in the order in which their turns come. */
  listIds(): readonly string[] {
    const levels = [...this.#levels].sort(([one], [other]) => one - other);
    return levels.flatMap(([, level]) => level.items.map((item) => item.id));
  }

  /** Counts the waiting requests that would have their turn before a new one. */
  countAhead(share: FairShare): number {
    const counts = [...this.#levels].map(([priority, level]) => {
      if (priority > share.priority) return 0;
      if (priority < share.priority) return level.items.length;
      return findPosition(level.items, readStartTag(level, share.workspace));
    });
    return counts.reduce((sum, count) => sum + count, 0);
  }

  /**
   * Finds the waiting request that has to make place for a new one in a full queue: the newest of
   * the workspace that takes up most, among those of the lowest priority.
   *
   * @returns its id; undefined where the new one has no better claim
   */
  findVictim(share: FairShare): string | undefined {
    const lowest = Math.max(...this.#levels.keys());
    const items = this.#levels.get(lowest)?.items ?? [];
    if (lowest < share.priority) return undefined;

    const isEqual = lowest === share.priority;
    const shares = measureShares(isEqual ? [...items, share] : items);
    const [largest] = [...shares].sort(([, a], [, b]) => b - a)[0] ?? [];
    if (isEqual && largest === share.workspace) return undefined;
    return items.filter((item) => item.workspace === largest).pop()?.id;
  }

  #openLevel(priority: number): Level {
    const known = this.#levels.get(priority);
    if (known) return known;
    const level: Level = { virtualTime: 0, finishTags: new Map(), items: [] };
    this.#levels.set(priority, level);
    return level;
  }

  #take(isWanted: (item: Item) => boolean): Item | undefined {
    const all = [...this.#levels.values()].flatMap((level) => level.items);
    const item = all.find((each) => isWanted(each));
    const level = item && this.#levels.get(item.priority);
    if (!item || !level) return undefined;

    level.items.splice(level.items.indexOf(item), 1);
    this.#size -= 1;
    const isLast = level.finishTags.get(item.workspace) === item.startTag + 1 / item.weight;
    if (isLast) level.finishTags.set(item.workspace, item.startTag);
    this.#closeEmpty(item.priority, level);
    return item;
  }

  /** An empty level needs no tags: nobody waits whom they could put ahead or behind. */
  #closeEmpty(priority: number, level: Level): void {
    if (level.items.length === 0) this.#levels.delete(priority);
  }
}
