/** A fake rank of a group, which checks orders against its state and executes them. */
import { RankOrderKind, type RankCommand } from '../../../src/direct/experts/rankCaller.js';

/** Experts by layer, then rank. */
export type Placement = readonly (readonly (readonly number[])[])[];

/** Time that a rank takes to copy the experts of a map. */
const COPY_MS = 300;

/** A rank with its maps, held pass and armed switch. */
export class FakeRank {
  mapVersion = 0;

  map: Placement;

  armed: { readonly version: number; readonly step: number } | undefined;

  heldStep: number | undefined;

  #highestVersion = 0;

  #prepared: { version: number; map: Placement; readyAtMs: number } | undefined;

  constructor(map: Placement) {
    this.map = map;
  }

  /** Version whose experts are all copied. */
  get preparedVersion(): number | undefined {
    const isReady = this.#prepared && this.#prepared.readyAtMs <= performance.now();
    return isReady ? this.#prepared?.version : undefined;
  }

  /** Resets the state, as after a crash of the group. */
  reset(map: Placement): void {
    this.mapVersion = 0;
    this.map = map;
    this.armed = undefined;
    this.heldStep = undefined;
    this.#prepared = undefined;
  }

  /**
   * Executes an order.
   *
   * @param begunStep number of the last pass that has begun
   * @returns whether the order fits the state of the rank
   */
  execute(command: RankCommand, begunStep: number): boolean {
    const { kind, version = 0, step = 0, map = [] } = command;
    if (kind === RankOrderKind.Prepare) return this.#prepare(version, map);
    if (kind === RankOrderKind.Arm) return this.#arm(version, step, begunStep);
    if (kind === RankOrderKind.Hold) return this.#hold(step, begunStep);
    if (kind === RankOrderKind.Disarm) return this.#disarm(version);
    if (this.heldStep === step) this.heldStep = undefined;
    return true;
  }

  /** Switches to the armed map if this is the pass it is armed for. */
  beginPass(step: number): void {
    if (!this.armed || this.armed.step !== step || !this.#prepared) return;
    this.mapVersion = this.armed.version;
    this.map = this.#prepared.map;
    this.armed = undefined;
    this.#prepared = undefined;
  }

  #prepare(version: number, map: Placement): boolean {
    if (version <= this.#highestVersion || this.armed) return false;
    this.#highestVersion = version;
    this.#prepared = { version, map, readyAtMs: performance.now() + COPY_MS };
    return true;
  }

  #arm(version: number, step: number, begunStep: number): boolean {
    if (this.armed?.version === version && this.armed.step === step) return true;
    if (this.preparedVersion !== version || step <= begunStep) return false;
    this.armed = { version, step };
    return true;
  }

  #hold(step: number, begunStep: number): boolean {
    if (this.heldStep === step) return true;
    if (this.heldStep !== undefined || step <= begunStep) return false;
    this.heldStep = step;
    return true;
  }

  #disarm(version: number): boolean {
    if (this.mapVersion === version) return false;
    if (this.armed?.version === version) this.armed = undefined;
    return true;
  }
}
