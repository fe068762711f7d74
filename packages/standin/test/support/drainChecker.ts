import { ConfigKind, DomainState, formatConfigKey } from '@radishbay/core/config/object.js';
import { OrderState, type OrderStatus } from '@radishbay/core/model/order.js';
import { readMarks } from '@radishbay/core/orders/orderRecord.js';

import { DOMAINS, type TestFleet } from './testFleet.js';

/** Time within which an accepted drain must be in force while the platform is up. */
export const IN_FORCE_LIMIT_MS = 4_000;

/** A time span in which a domain was drained according to the platform's store. */
interface DrainedSpan {
  readonly domain: string;
  /**
   * Start of the limit: when the drain was accepted or, if later, when the platform last became
   * available again to most entries.
   */
  limitFromMs: number;
  endMs: number;
}

/** A report of a drain as in force, from which on the domain must get no work. */
interface InForceReport {
  readonly domain: string;
  readonly atMs: number;
  endMs: number;
}

function formatDomainKey(domain: string): string {
  return formatConfigKey(ConfigKind.Domain, domain);
}

/**
 * Checks the guarantees of drains against the records of the platform and the engines: versions
 * never decrease, and a drained domain gets no work after the limit or after the drain was reported
 * as in force.
 */
export class DrainChecker {
  readonly violations: string[] = [];

  readonly #fleet: TestFleet;

  readonly #spans: DrainedSpan[] = [];

  readonly #inForceReports: InForceReport[] = [];

  readonly #versions = new Map<string, number>();

  constructor(fleet: TestFleet) {
    this.#fleet = fleet;
    fleet.platform.objects.onChange((change) => this.#recordChange(change.key));
  }

  /** Checks the versions on all boards and extends the limits while the platform is down. */
  checkVersions(isPlatformUpForMost: boolean): void {
    if (!isPlatformUpForMost) this.#openSpans().forEach((span) => this.#postponeLimit(span));
    this.#fleet.entries.forEach(({ node, board }) => {
      DOMAINS.forEach((domain) => this.#checkVersionRises(node, domain, board.config));
    });
    this.#fleet.sides.forEach(({ node, board }) => {
      DOMAINS.forEach((domain) => this.#checkVersionRises(node, domain, board.config));
    });
  }

  /** Checks the status of an order that was just read back. */
  checkStatus(status: OrderStatus): void {
    if (status.state !== OrderState.InForce) return;
    const key = formatDomainKey(status.target);
    this.#fleet.entries.forEach(({ node, board }) => {
      if (board.config.readVersion(key) >= status.version || !board.isCurrent) return;
      this.violations.push(
        `${status.orderId} was reported in force while ${node} could act without it`,
      );
    });
    if (this.#readState(status.target) !== DomainState.Drained) return;
    this.#inForceReports.push({ domain: status.target, atMs: Date.now(), endMs: Infinity });
  }

  /** Checks, after all faults are healed, that the last accepted order applies on every process. */
  checkEnd(): void {
    DOMAINS.forEach((domain) => {
      const expected = this.#readState(domain);
      [...this.#fleet.entries.values(), ...this.#fleet.sides].forEach(({ node, board }) => {
        const state = board.config.get(ConfigKind.Domain, domain)?.state;
        if (state === undefined && 'upstream' in board) return;
        if (state !== expected) this.violations.push(`${node} ends with ${domain} ${state}`);
      });
    });
    this.#checkWorkStarts();
  }

  /** Lists the ids of the orders that took effect. */
  listMarks(): ReadonlySet<string> {
    const values = DOMAINS.map(
      (domain) => this.#fleet.platform.objects.get(formatDomainKey(domain))?.value,
    );
    return new Set(values.flatMap((value) => readMarks(value).map((mark) => mark.id)));
  }

  #readState(domain: string): unknown {
    const value = this.#fleet.platform.objects.get(formatDomainKey(domain))?.value;
    const state = (value as { state?: unknown } | undefined)?.state;
    return state ?? DomainState.Active;
  }

  #openSpans(): readonly DrainedSpan[] {
    return this.#spans.filter((span) => span.endMs === Infinity);
  }

  // eslint-disable-next-line @typescript-eslint/class-methods-use-this -- changes only its argument
  #postponeLimit(span: DrainedSpan): void {
    Object.assign(span, { limitFromMs: Date.now() });
  }

  #recordChange(key: string): void {
    const domain = DOMAINS.find((name) => formatDomainKey(name) === key);
    if (!domain) return;
    const nowMs = Date.now();
    if (this.#readState(domain) === DomainState.Drained) {
      const isOpen = this.#openSpans().some((span) => span.domain === domain);
      if (!isOpen) this.#spans.push({ domain, limitFromMs: nowMs, endMs: Infinity });
      return;
    }
    [...this.#openSpans(), ...this.#inForceReports.filter((report) => report.endMs === Infinity)]
      .filter((one) => one.domain === domain)
      .forEach((one) => Object.assign(one, { endMs: nowMs }));
  }

  #checkVersionRises(
    node: string,
    domain: string,
    config: { readVersion: (key: string) => number },
  ): void {
    const key = `${node} ${domain}`;
    const version = config.readVersion(formatDomainKey(domain));
    const before = this.#versions.get(key) ?? 0;
    if (version < before) this.violations.push(`${key} reverted from ${before} to ${version}`);
    this.#versions.set(key, version);
  }

  #checkWorkStarts(): void {
    this.#fleet.sides.forEach(({ domain, engine }) => {
      engine.startsMs.forEach((startMs) => {
        const late = this.#spans.find(
          (span) =>
            span.domain === domain &&
            startMs > span.limitFromMs + IN_FORCE_LIMIT_MS &&
            startMs < span.endMs,
        );
        if (late) {
          const lateMs = startMs - late.limitFromMs;
          this.violations.push(`${domain} got work ${lateMs} ms after its drain`);
        }
        const early = this.#inForceReports.find(
          (report) => report.domain === domain && startMs > report.atMs && startMs < report.endMs,
        );
        if (early) this.violations.push(`${domain} got work after its drain was in force`);
      });
    });
  }
}
