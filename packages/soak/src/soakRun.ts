/** One run of the soak: a fleet, its traffic, the faults of a seed, and the invariant checks. */
import { appendFile, mkdir, writeFile } from 'node:fs/promises';
import path from 'node:path';

import { Random } from '@radishbay/core/ports/random.js';
import { wait } from '@radishbay/core/wait.js';
import { COLD_PER_S } from '@radishbay/fleet-platform/standin/wireSamples.js';

import { AtMostOnce } from './checks/atMostOnce.js';
import type { Bounds, Check, CheckContext } from './checks/check.js';
import { ColdStartLimit } from './checks/coldStartLimit.js';
import { CompletionDeadline } from './checks/completionDeadline.js';
import { ConfigFreshness } from './checks/configFreshness.js';
import { DrainEnforcement } from './checks/drainEnforcement.js';
import { GracefulShutdown } from './checks/gracefulShutdown.js';
import { RequestIntegrity } from './checks/requestIntegrity.js';
import { RequestLimit } from './checks/requestLimit.js';
import { ResponseIntegrity } from './checks/responseIntegrity.js';
import { RetryLimits } from './checks/retryLimits.js';
import { ServiceRecovery } from './checks/serviceRecovery.js';
import { FaultRunner } from './faults/faultRunner.js';
import { Balancer } from './fleet/balancer.js';
import { SoakFleet } from './fleet/soakFleet.js';
import { EVENT_COUNT } from './fleet/upstreams.js';
import type { Fault } from './plan/fault.js';
import { createPlan } from './plan/faultPlan.js';
import { FaultTimeline } from './record/faultTimeline.js';
import { SoakRecord, type Violation } from './record/soakRecord.js';
import { StallDetector } from './record/stallDetector.js';
import { Traffic } from './traffic/traffic.js';

/** Limits from the specifications of the users' deployments. */
const BOUNDS: Bounds = {
  drainMs: 2_000,
  evacuateMs: 5_000,
  contactMs: 3_000,
  configMs: 3_000,
  coldPerS: COLD_PER_S,
  coldFactor: 1.5,
  coldAddition: 5,
  retryShare: 0.2,
  retryWindowMs: 10_000,
  retryFloor: 88,
  stopLimitMs: 8_000,
  recoverMs: 15_000,
};

/** Time without a fault after which an entry counts as stable. */
const STABLE_PERIOD_MS = 3_000;

/** Time for all entries to become ready. */
const START_TIMEOUT_MS = 30_000;

/** Time after the recovery limit in which successful requests are counted. */
const RECOVERY_CHECK_MS = 3_000;

export interface SoakOptions {
  readonly seed: number;
  readonly entryCount: number;
  /** Time in which faults start. */
  readonly faultsMs: number;
  /** Folder for logs and the plan. */
  readonly folder: string;
}

export interface SoakResult {
  readonly violations: readonly Violation[];
  /** Number of responses by status; status 0 counts failed connections. */
  readonly responseCounts: ReadonlyMap<number, number>;
  readonly faultCount: number;
  /** Number of expert maps that were in force. */
  readonly mapCount: number;
  /** Number of passes that were due while a rank held one. */
  readonly heldPassCount: number;
  /** How often the soak's own process stalled. */
  readonly stallCount: number;
}

/** Starts a fleet, injects faults, checks the invariants and stops the fleet. */
export class SoakRun {
  readonly #options: SoakOptions;

  readonly #record = new SoakRecord();

  readonly #faultTimeline = new FaultTimeline(STABLE_PERIOD_MS);

  readonly #fleet: SoakFleet;

  readonly #stallDetector = new StallDetector(this.#faultTimeline, (forMs) =>
    this.#recordStall(forMs),
  );

  #stallCount = 0;

  #serviceRecovery: ServiceRecovery | undefined;

  constructor(options: SoakOptions) {
    this.#options = options;
    const { seed, entryCount, folder } = options;
    const record = this.#record;
    this.#fleet = new SoakFleet({ entryCount, seed, folder, record });
    record.addChecks((context) =>
      this.#createChecks({ ...context, timeline: this.#faultTimeline, bounds: BOUNDS }),
    );
  }

  /** Stops the fleet at once, whatever is in progress. */
  async abort(): Promise<void> {
    await this.#fleet.stop();
  }

  /**
   * Runs the plan of the seed; writes plan.json, faults.log and the entries' logs to the folder.
   *
   * @throws if the entries do not become ready
   */
  async run(): Promise<SoakResult> {
    const { seed, folder, faultsMs } = this.#options;
    const plan = createPlan(seed, faultsMs);
    await mkdir(folder, { recursive: true });
    await writeFile(path.join(folder, 'plan.json'), JSON.stringify(plan, undefined, 1));
    try {
      await this.#fleet.start();
      await this.#waitUntilReady();
      this.#stallDetector.start();
      await this.#injectFaults(plan);
    } finally {
      this.#stallDetector.stop();
      await this.#fleet.stop();
    }
    return this.#createResult(plan);
  }

  #createChecks(context: CheckContext): readonly Check[] {
    this.#serviceRecovery = new ServiceRecovery(context);
    return [
      new ResponseIntegrity(context, EVENT_COUNT),
      new AtMostOnce(context),
      new RequestIntegrity(context),
      new DrainEnforcement(context),
      new ConfigFreshness(context),
      new ColdStartLimit(context),
      new RequestLimit(context),
      new RetryLimits(context),
      new CompletionDeadline(context),
      new GracefulShutdown(context),
      this.#serviceRecovery,
    ];
  }

  async #waitUntilReady(): Promise<void> {
    const { entries } = this.#fleet;
    const ready = await Promise.all(entries.map((entry) => entry.waitUntilReady(START_TIMEOUT_MS)));
    const late = entries.filter((_, at) => !ready[at]).map(({ name }) => name);
    if (late.length > 0) throw new Error(`entries ${late.join(', ')} did not become ready`);
  }

  async #injectFaults(plan: readonly Fault[]): Promise<void> {
    const { seed } = this.#options;
    const fleet = this.#fleet;
    const record = this.#record;
    const balancer = new Balancer(fleet.entries);
    const readGeneration = () => fleet.operators.generation;
    const traffic = new Traffic({ random: new Random(seed + 2), balancer, record, readGeneration });
    balancer.start();
    traffic.start();
    const runner = new FaultRunner({
      fleet,
      record,
      faultTimeline: this.#faultTimeline,
      random: new Random(seed + 1),
      stopLimitMs: BOUNDS.stopLimitMs,
      onFailedStop: (detail) =>
        record.recordViolation('graceful shutdowns exit with status 0 in time', detail),
      onFault: (fault, subject) => this.#logFault(fault, subject),
    });
    await wait(STABLE_PERIOD_MS);
    await runner.run(plan);
    this.#serviceRecovery?.markFaultsEnded(performance.now());
    await wait(BOUNDS.recoverMs + RECOVERY_CHECK_MS);
    await traffic.stop();
    balancer.stop();
  }

  #createResult(plan: readonly Fault[]): SoakResult {
    const { group } = this.#fleet.upstreams;
    this.#record.finishChecks();
    if (group.mixedMapPasses.length > 0) {
      const detail = `passes ${group.mixedMapPasses.join(', ')} started with two expert maps`;
      this.#record.recordViolation('every pass uses a single expert map', detail);
    }
    const { violations, responseCounts } = this.#record;
    const { heldPasses, versions } = group;
    return {
      violations,
      responseCounts,
      faultCount: plan.length,
      mapCount: versions.length,
      heldPassCount: heldPasses,
      stallCount: this.#stallCount,
    };
  }

  #recordStall(forMs: number): void {
    this.#stallCount += 1;
    this.#appendToFaultLog({ kind: 'stall-of-the-soak', subject: '*', forMs });
  }

  #logFault({ kind, forMs }: Fault, subject: string): void {
    this.#appendToFaultLog({ kind, subject, forMs });
  }

  #appendToFaultLog(fields: object): void {
    const atMs = Math.round(this.#record.elapsedMs);
    const line = `${JSON.stringify({ atMs, ...fields })}\n`;
    appendFile(path.join(this.#options.folder, 'faults.log'), line).catch((error: unknown) => {
      process.stderr.write(`soak: cannot write to faults.log: ${String(error)}\n`);
    });
  }
}
