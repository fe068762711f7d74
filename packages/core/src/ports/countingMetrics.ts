/** In-memory metrics of one process, for its operators and for tests. */
import { Metrics } from './metrics.js';

function formatName(name: string, tags: Readonly<Record<string, string>> | undefined): string {
  const parts = Object.entries(tags ?? {}).map(([key, value]) => `${key}=${value}`);
  return parts.length > 0 ? `${name}{${parts.sort().join(',')}}` : name;
}

/** Keeps counters and gauges in memory, and forwards all metrics to the next sink, if any. */
export class CountingMetrics extends Metrics {
  readonly #next: Metrics | undefined;

  readonly #counts = new Map<string, number>();

  readonly #gauges = new Map<string, number>();

  constructor(next?: Metrics) {
    super();
    this.#next = next;
  }

  override count(name: string, tags?: Readonly<Record<string, string>>): void {
    const key = formatName(name, tags);
    this.#counts.set(key, (this.#counts.get(key) ?? 0) + 1);
    this.#next?.count(name, tags);
  }

  override gauge(name: string, value: number, tags?: Readonly<Record<string, string>>): void {
    this.#gauges.set(formatName(name, tags), value);
    this.#next?.gauge(name, value, tags);
  }

  override timing(name: string, valueMs: number, tags?: Readonly<Record<string, string>>): void {
    this.#next?.timing(name, valueMs, tags);
  }

  /** Reads one counter by its name, with its tags as `name{tag=value}`; 0 if never counted. */
  readCount(name: string): number {
    return this.#counts.get(name) ?? 0;
  }

  /** Reads the sum of a counter over all its tags. */
  readTotal(name: string): number {
    return [...this.#counts]
      .filter(([key]) => key === name || key.startsWith(`${name}{`))
      .reduce((sum, [, count]) => sum + count, 0);
  }

  /** Lists all counters and gauges, sorted by name. */
  list(): readonly (readonly [name: string, value: number])[] {
    return [...this.#counts, ...this.#gauges].sort(([a], [b]) => a.localeCompare(b));
  }
}
