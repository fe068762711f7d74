/** One run of the soak: a fleet, its traffic, the faults of a seed, and the promises. */
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

/** Bounds as the sheets of the users' deployments state them. */
const BOUNDS: Bounds = {
  drainMs: 2_000,
  evacuateMs: 5_000,
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

const STABLE_PERIOD_MS = 3_000;

/** Longest time for the fleet to be ready. */
const START_TIMEOUT_MS = 30_000;

/** Time after recovery in which service is judged. */
const RECOVERY_CHECK_MS = 3_000;

export interface SoakOptions {
  readonly seed: number;
  readonly entryCount: number;
  /** Time in which faults begin. */
  readonly faultsMs: number;
  /** Folder of logs and the plan. */
  readonly folder: string;
}

export interface SoakResult {
  readonly violations: readonly Violation[];
  readonly responseCounts: ReadonlyMap<number, number>;
  readonly faultCount: number;
  /** Maps that were in force, and passes that were held. */
  readonly mapCount: number;
  readonly heldPassCount: number;
  /** Times at which the soak itself did not run. */
  readonly stallCount: number;
}

/** Starts, disturbs, judges and ends one fleet. */
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
      this.#createChecks({ ...context, faultTimeline: this.#faultTimeline, bounds: BOUNDS }),
    );
  }

  /** Ends all that was started, whatever is in progress. */
  async abort(): Promise<void> {
    await this.#fleet.stop();
  }

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
    if (late.length > 0) throw new Error(`entries ${late.join(', ')} are not ready`);
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
      onFailedStop: (detail) => record.recordViolation('planned stops end by themselves', detail),
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
    if (group.broken.length > 0) {
      const detail = `passes ${group.broken.join(', ')} began with two maps`;
      this.#record.recordViolation('one map in every pass', detail);
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
      process.stderr.write(`soak: the faults cannot be logged: ${String(error)}\n`);
    });
  }
}
