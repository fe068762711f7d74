/** One run of the soak: a fleet, its traffic, the faults of a seed, and the promises. */
import { appendFile, mkdir, writeFile } from 'node:fs/promises';
import path from 'node:path';

import { Random } from '@radishbay/core/ports/random.js';
import { wait } from '@radishbay/core/wait.js';
import { COLD_PER_S } from '@radishbay/fleet-platform/standin/wireSamples.js';

import { AskedRun } from './checks/requestIntegrity.js';
import { BackInService } from './checks/serviceRecovery.js';
import type { Bounds, Check, CheckContext } from './checks/check.js';
import { GentleStart } from './checks/coldStartLimit.js';
import { LeftAlone } from './checks/drainEnforcement.js';
import { NewestConfig } from './checks/configFreshness.js';
import { OwnAnswer } from './checks/responseIntegrity.js';
import { PlannedStop } from './checks/gracefulShutdown.js';
import { PromptEnd } from './checks/completionDeadline.js';
import { RetryLimits } from './checks/retryLimits.js';
import { RunsOnce } from './checks/atMostOnce.js';
import { FaultRunner } from './faults/faultRunner.js';
import { Balancer } from './fleet/balancer.js';
import { SoakFleet } from './fleet/soakFleet.js';
import { EVENT_COUNT } from './fleet/upstreams.js';
import type { Fault } from './plan/fault.js';
import { createPlan } from './plan/faultPlan.js';
import { SoakRecord, type Break } from './record/soakRecord.js';
import { StallWatch } from './record/stallDetector.js';
import { TouchBook } from './record/faultTimeline.js';
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

const CONTACT_MS = 3_000;

/** Longest time for the fleet to be ready. */
const START_LIMIT_MS = 30_000;

/** Time after recovery in which service is judged. */
const JUDGE_MS = 3_000;

export interface SoakOptions {
  readonly seed: number;
  readonly entryCount: number;
  /** Time in which faults begin. */
  readonly faultsMs: number;
  /** Folder of logs and the plan. */
  readonly folder: string;
}

export interface SoakVerdict {
  readonly breaks: readonly Break[];
  readonly outcomes: ReadonlyMap<number, number>;
  readonly faults: number;
  /** Maps that were in force, and passes that were held. */
  readonly maps: number;
  readonly heldPasses: number;
  /** Times at which the soak itself did not run. */
  readonly stalls: number;
}

/** Starts, disturbs, judges and ends one fleet. */
export class SoakRun {
  readonly #options: SoakOptions;

  readonly #record = new SoakRecord();

  readonly #touch = new TouchBook(CONTACT_MS);

  readonly #fleet: SoakFleet;

  readonly #stallWatch = new StallWatch(this.#touch, (forMs) => this.#noteStall(forMs));

  #stalls = 0;

  #recovery: BackInService | undefined;

  constructor(options: SoakOptions) {
    this.#options = options;
    const { seed, entryCount, folder } = options;
    const record = this.#record;
    this.#fleet = new SoakFleet({ entryCount, seed, folder, record });
    record.watch((context) =>
      this.#createChecks({ ...context, touch: this.#touch, bounds: BOUNDS }),
    );
  }

  /** Ends all that was started, whatever is in progress. */
  async abort(): Promise<void> {
    await this.#fleet.stop();
  }

  async run(): Promise<SoakVerdict> {
    const { seed, folder, faultsMs } = this.#options;
    const plan = createPlan(seed, faultsMs);
    await mkdir(folder, { recursive: true });
    await writeFile(path.join(folder, 'plan.json'), JSON.stringify(plan, undefined, 1));
    try {
      await this.#fleet.start();
      await this.#waitUntilReady();
      this.#stallWatch.start();
      await this.#disturb(plan);
    } finally {
      this.#stallWatch.stop();
      await this.#fleet.stop();
    }
    return this.#judge(plan);
  }

  #createChecks(context: CheckContext): readonly Check[] {
    this.#recovery = new BackInService(context);
    return [
      new OwnAnswer(context, EVENT_COUNT),
      new RunsOnce(context),
      new AskedRun(context),
      new LeftAlone(context),
      new NewestConfig(context),
      new GentleStart(context),
      new RetryLimits(context),
      new PromptEnd(context),
      new PlannedStop(context),
      this.#recovery,
    ];
  }

  async #waitUntilReady(): Promise<void> {
    const { entries } = this.#fleet;
    const ready = await Promise.all(entries.map((entry) => entry.waitUntilReady(START_LIMIT_MS)));
    const late = entries.filter((_, at) => !ready[at]).map(({ name }) => name);
    if (late.length > 0) throw new Error(`entries ${late.join(', ')} are not ready`);
  }

  async #disturb(plan: readonly Fault[]): Promise<void> {
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
      touch: this.#touch,
      random: new Random(seed + 1),
      stopLimitMs: BOUNDS.stopLimitMs,
      onBadStop: (detail) => record.noteBreak('planned stops end by themselves', detail),
      onFault: (fault, subject) => this.#tell(fault, subject),
    });
    await wait(CONTACT_MS);
    await runner.run(plan);
    this.#recovery?.noteQuiet(performance.now());
    await wait(BOUNDS.recoverMs + JUDGE_MS);
    await traffic.stop();
    balancer.stop();
  }

  #judge(plan: readonly Fault[]): SoakVerdict {
    const { group } = this.#fleet.upstreams;
    this.#record.finish();
    if (group.broken.length > 0) {
      const detail = `passes ${group.broken.join(', ')} began with two maps`;
      this.#record.noteBreak('one map in every pass', detail);
    }
    const { breaks, outcomes } = this.#record;
    const { heldPasses, versions } = group;
    return {
      breaks,
      outcomes,
      faults: plan.length,
      maps: versions.length,
      heldPasses,
      stalls: this.#stalls,
    };
  }

  #noteStall(forMs: number): void {
    this.#stalls += 1;
    this.#write({ kind: 'stall-of-the-soak', subject: '*', forMs });
  }

  #tell({ kind, forMs }: Fault, subject: string): void {
    this.#write({ kind, subject, forMs });
  }

  #write(fields: object): void {
    const atMs = Math.round(this.#record.elapsedMs);
    const line = `${JSON.stringify({ atMs, ...fields })}\n`;
    appendFile(path.join(this.#options.folder, 'faults.log'), line).catch((error: unknown) => {
      process.stderr.write(`soak: the faults cannot be logged: ${String(error)}\n`);
    });
  }
}
