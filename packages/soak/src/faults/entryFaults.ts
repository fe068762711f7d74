/** Faults of entries: signals to their processes, and faults of their links. */
import { wait } from '@radishbay/core/wait.js';

import type { SoakEntry } from '../fleet/soakEntry.js';
import { FaultKind, type Fault } from '../plan/fault.js';
import type { FaultTimeline } from '../record/faultTimeline.js';
import { ChangeKind } from '../record/observation.js';
import type { SoakRecord } from '../record/soakRecord.js';

import { delayLink, holdLink } from './linkFaults.js';

/** Time for an entry to become ready after a restart. */
const READY_TIMEOUT_MS = 10_000;

/** Range of the retry floors written by a reload; at most the floor that the checks apply. */
const RETRY_FLOOR_MIN = 60;
const RETRY_FLOOR_SPAN = 28;

/** Time after the stop limit at which a process that has not exited is killed. */
const KILL_MARGIN_MS = 1_000;

export interface EntryFaultOptions {
  readonly faultTimeline: FaultTimeline;
  readonly record: SoakRecord;
  readonly stopLimitMs: number;
  /** Reports a graceful shutdown that did not exit with status 0. */
  readonly onFailedStop: (detail: string) => void;
}

/** Injects faults into entries; kills and stops skip an entry that is already down. */
export class EntryFaults {
  readonly #options: EntryFaultOptions;

  /** Entries that a fault has stopped and will restart. */
  readonly #restarting = new Set<SoakEntry>();

  constructor(options: EntryFaultOptions) {
    this.#options = options;
  }

  /** Injects a fault and waits for its end. */
  async inject(fault: Fault, entry: SoakEntry): Promise<void> {
    const { kind, forMs } = fault;
    if (kind === FaultKind.EntryKill) await this.#kill(entry, forMs);
    else if (kind === FaultKind.EntryStop) await this.#stop(entry);
    else if (kind === FaultKind.EntryPause) await this.#pause(entry, forMs);
    else if (kind === FaultKind.EntryReload) {
      await entry.writeSettings(Math.round(RETRY_FLOOR_MIN + fault.draw * RETRY_FLOOR_SPAN));
      entry.signal('SIGHUP');
    } else if (kind === FaultKind.ClockJump) entry.signal('SIGUSR2');
    else await this.#injectLinkFault(fault, entry);
  }

  async #kill(entry: SoakEntry, downMs: number): Promise<void> {
    if (!entry.isRunning || this.#restarting.has(entry)) return;
    const endFault = this.#options.faultTimeline.beginFault(entry.name, performance.now());
    this.#restarting.add(entry);
    entry.signal('SIGKILL');
    await entry.waitForEnd();
    await wait(downMs);
    await this.#restart(entry, endFault);
  }

  async #stop(entry: SoakEntry): Promise<void> {
    if (!entry.isRunning || this.#restarting.has(entry)) return;
    this.#restarting.add(entry);
    const { record, faultTimeline, stopLimitMs, onFailedStop } = this.#options;
    const requestedAtMs = performance.now();
    record.recordChange({
      kind: ChangeKind.StopRequested,
      subject: entry.name,
      atMs: requestedAtMs,
    });
    entry.signal('SIGTERM');
    const timer = setTimeout(() => entry.signal('SIGKILL'), stopLimitMs + KILL_MARGIN_MS);
    const { code, signal } = await entry.waitForEnd();
    clearTimeout(timer);
    const endFault = faultTimeline.beginFault(entry.name, performance.now());
    const isUnaffected = faultTimeline.isFaultFree(
      entry.name,
      requestedAtMs,
      performance.now() - 1,
    );
    if (code !== 0 && isUnaffected) onFailedStop(`${entry.name} exited with ${code ?? signal}`);
    await this.#restart(entry, endFault);
  }

  async #restart(entry: SoakEntry, endFault: (endMs: number) => void): Promise<void> {
    await entry.start();
    this.#restarting.delete(entry);
    await entry.waitUntilReady(READY_TIMEOUT_MS);
    endFault(performance.now());
  }

  async #pause(entry: SoakEntry, forMs: number): Promise<void> {
    const endFault = this.#options.faultTimeline.beginFault(entry.name, performance.now());
    entry.signal('SIGSTOP');
    await wait(forMs);
    entry.signal('SIGCONT');
    endFault(performance.now());
  }

  async #injectLinkFault({ kind, forMs, draw }: Fault, entry: SoakEntry): Promise<void> {
    const endFault = this.#options.faultTimeline.beginFault(entry.name, performance.now());
    const isPeer = kind === FaultKind.PeerLinkHold || kind === FaultKind.PeerLinkReset;
    const link = isPeer ? entry.peerLink : entry.storeLink;
    if (kind === FaultKind.StoreLinkHold || kind === FaultKind.PeerLinkHold) {
      await holdLink(link, forMs, draw);
    } else if (kind === FaultKind.StoreLinkDelay) await delayLink(link, forMs);
    else link.cut();
    endFault(performance.now());
  }
}
