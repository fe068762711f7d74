/** Interface for recording metrics. */

/** Records counters, gauges and timings; names are dotted and in lower case. */
export abstract class Metrics {
  abstract count(name: string, tags?: Readonly<Record<string, string>>): void;

  abstract gauge(name: string, value: number, tags?: Readonly<Record<string, string>>): void;

  abstract timing(name: string, valueMs: number, tags?: Readonly<Record<string, string>>): void;
}
