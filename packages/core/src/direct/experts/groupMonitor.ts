/**
 * Monitors one pool's group: surveys its ranks, recovers it from unfinished switches, and switches
 * it to new maps.
 */
import type { FleetBoard } from '../fleetBoard.js';
import type { GroupProfile } from '../routeTable.js';
import type { Random } from '../../ports/random.js';

import { areEqual, surveyGroups, type GroupSurvey } from './groupSurvey.js';
import { findHold, isSettled, recoverHold } from './holdRecovery.js';
import type { MapTelemetry } from './mapTelemetry.js';
import type { Placement } from './mapSearch.js';
import type { RankCaller } from './rankCaller.js';
import { BarrierSwitch, SwitchOutcome } from './barrierSwitch.js';

/** Time without any response after which every entry checks whether a pass of the group is held. */
const STALL_AFTER_MS = 700;

/** Requests in flight needed for that check; low, as an entry in a planned stop has few. */
const STALL_REQUESTS_MIN = 2;

/** Maximum age of rank reports: only reports read later are sure to show an order's effect. */
const REPORT_LAG_MS = 250;

/** Minimum interval of surveys of a stalled group: each reads all ranks, on every entry. */
const STALL_CHECK_INTERVAL_MS = 500;

/** Interval of surveys, which detect ranks that become slow; a failed read triggers one at once. */
const SURVEY_INTERVAL_MS = 2_000;

/** Spacing of one entry's map versions; the remainder is unique to the entry. */
const VERSION_STRIDE = 1_024;

export interface GroupMonitorOptions {
  readonly board: FleetBoard;
  readonly pool: string;
  readonly profile: GroupProfile;
  readonly caller: RankCaller;
  readonly random: Random;
  readonly telemetry: MapTelemetry;
  /** Returns the sorted names of all entries, including this one. */
  readonly listEntries: () => readonly string[];
}

/** A group that, when surveyed, was complete and open with no pass held and no rank armed. */
export interface SettledGroup {
  readonly survey: GroupSurvey;
  readonly placement: Placement;
  readonly mapVersion: number;
}

/** Monitors one pool's group. */
export class GroupMonitor {
  readonly #options: GroupMonitorOptions;

  #group: SettledGroup | undefined;

  #surveyAtMs = 0;

  #stallCheckAtMs = 0;

  /** When this entry last sent orders whose effect reports may not show yet. */
  #lastOrderAtMs = Number.NEGATIVE_INFINITY;

  /** Whether the last survey found no complete and open group. */
  #wasBroken = false;

  #lastVersion = 0;

  constructor(options: GroupMonitorOptions) {
    this.#options = options;
  }

  /** Returns the settled group, after a new survey if one is due; undefined if there is none. */
  async refresh(nowMs: number): Promise<SettledGroup | undefined> {
    if (nowMs - this.#lastOrderAtMs < REPORT_LAG_MS) return undefined;
    if (nowMs >= this.#surveyAtMs || this.#isStallCheckDue(nowMs)) await this.#surveyGroup(nowMs);
    return this.#group;
  }

  /** Requests a survey in the next round, because a rank did not match the last one. */
  requestSurvey(): void {
    this.#surveyAtMs = 0;
  }

  /** Discards the known state of the group, as another entry may change it from now on. */
  forget(): void {
    this.#group = undefined;
    this.#surveyAtMs = 0;
    this.#options.board.measuredSlowdowns = new Map();
  }

  /** Discards what is known after an exception, which may have interrupted a switch. */
  startAnew(nowMs: number): void {
    this.forget();
    this.#lastOrderAtMs = nowMs;
  }

  /**
   * Recovers a stalled group whose coordinator seems to be lost, before the loss is certain. That
   * is safe if the coordinator is still working: its own switch is completed by the same orders.
   */
  async recoverStalledGroup(nowMs: number): Promise<void> {
    if (!this.#isStallCheckDue(nowMs) || !(await this.#canBeOpen())) return;
    const survey = await this.#readSurvey();
    if (survey) await this.#resolveHold(survey);
  }

  /**
   * Whether the pass of the last switch has not begun yet. Armed ranks refuse another map, but on
   * the other ranks a late order could still replace the right map with it.
   */
  async isSwitchPending({ survey }: SettledGroup): Promise<boolean> {
    const [rank] = survey.ranks;
    const report = rank && (await this.#options.caller.readReport(rank.upstream.entry));
    return report?.ok === true && report.val.armed !== undefined;
  }

  /** @returns whether the new map is in force, or takes effect with a pass that is released */
  async switchMap({ survey }: SettledGroup, placement: Placement): Promise<boolean> {
    const { telemetry } = this.#options;
    const version = this.#chooseVersion(survey);
    const startedAtMs = performance.now();
    const result = await this.#createSwitch(survey).run(version, placement);
    const endedAtMs = performance.now();
    telemetry.recordSwitch(result, version, endedAtMs - startedAtMs);
    if (result.outcome === SwitchOutcome.Done) {
      this.#group = { survey, placement, mapVersion: version };
      // By then the pass has begun, and reports are recent enough to show it.
      this.#surveyAtMs = endedAtMs + SURVEY_INTERVAL_MS;
      return true;
    }
    this.#surveyAtMs = 0;
    this.#lastOrderAtMs = endedAtMs;
    return false;
  }

  /** Whether the group has stalled for longer than any switch takes and may be checked again. */
  #isStallCheckDue(nowMs: number): boolean {
    const { board, pool } = this.#options;
    if (nowMs < this.#stallCheckAtMs) return false;
    if (!board.getActivity(pool).isSilent(nowMs, STALL_AFTER_MS, STALL_REQUESTS_MIN)) return false;
    this.#stallCheckAtMs = nowMs + STALL_CHECK_INTERVAL_MS;
    return true;
  }

  async #readSurvey(): Promise<GroupSurvey | undefined> {
    const { board, pool, caller } = this.#options;
    const [survey] = await surveyGroups(caller, board.listPool(pool));
    return survey;
  }

  async #surveyGroup(nowMs: number): Promise<void> {
    const { board, pool } = this.#options;
    if (this.#wasBroken && !(await this.#canBeOpen())) return;
    this.#surveyAtMs = 0;
    const survey = await this.#readSurvey();
    const previous = this.#group;
    this.#group = undefined;
    this.#wasBroken = !survey;
    if (!survey) return;
    this.#recordPaces(survey);
    if (!(await this.#resolveHold(survey))) return;
    board.getBreaker(pool).noteSuccess();
    const mapVersion = survey.ranks[0]?.report.mapVersion ?? 0;
    const isSame = previous?.survey.epoch === survey.epoch && previous.mapVersion === mapVersion;
    const placement = isSame ? previous.placement : await this.#readPlacement(survey);
    if (!placement) return;
    this.#surveyAtMs = nowMs + SURVEY_INTERVAL_MS;
    this.#group = { survey, placement, mapVersion };
  }

  /** Reads one random rank of a broken group, as all are read only once it may be open again. */
  async #canBeOpen(): Promise<boolean> {
    const { board, pool, caller, random } = this.#options;
    const upstreams = board.listPool(pool);
    const upstream = upstreams[random.nextInt(upstreams.length)];
    if (!upstream) return false;
    const report = await caller.readReport(upstream.entry);
    return !report.ok || report.val.isOpen;
  }

  #recordPaces({ ranks }: GroupSurvey): void {
    const nowMs = performance.now();
    ranks.forEach(({ upstream, report }) => upstream.noteSlowdown(report.pace, nowMs));
    const paces = ranks.map(({ upstream, report }) => [upstream.id, report.pace] as const);
    this.#options.board.measuredSlowdowns = new Map(paces.filter(([, pace]) => pace > 1));
  }

  /**
   * Recovers the group if a pass is held.
   *
   * @returns whether no pass was held, no rank is armed, and all ranks have the same map
   */
  async #resolveHold(survey: GroupSurvey): Promise<boolean> {
    const hold = findHold(survey);
    if (!hold) return isSettled(survey);
    this.#options.telemetry.recordHold(hold);
    await recoverHold(hold, {
      mapSwitch: this.#createSwitch(survey),
      readPlacement: () => this.#readPlacement(survey),
      chooseVersion: () => this.#chooseVersion(survey),
    });
    this.#lastOrderAtMs = performance.now();
    return false;
  }

  async #readPlacement(survey: GroupSurvey): Promise<Placement | undefined> {
    const { caller, profile } = this.#options;
    const results = await Promise.all(
      survey.ranks.map(({ upstream }) => caller.readExperts(upstream.entry)),
    );
    const ranks = results.map((experts) => (experts.ok ? experts.val : undefined));
    if (!areEqual(ranks.map((rank) => rank?.mapVersion))) return undefined;
    const isComplete = ranks.every((rank) => rank?.experts.length === profile.layers);
    if (!isComplete) return undefined;
    return Array.from({ length: profile.layers }, (_, layer) =>
      ranks.map((rank) => rank?.experts[layer] ?? []),
    );
  }

  #createSwitch(survey: GroupSurvey): BarrierSwitch {
    const entries = this.#options.listEntries();
    return new BarrierSwitch({
      caller: this.#options.caller,
      survey,
      entryIndex: Math.max(0, entries.indexOf(this.#options.board.name)),
      entryCount: Math.max(1, entries.length),
      onOrderFailure: (rank, command, outcome) =>
        this.#options.telemetry.recordOrderFailure(rank, command, outcome),
    });
  }

  /** Chooses a version above all that the ranks have had, with a remainder unique to this entry. */
  #chooseVersion({ ranks }: GroupSurvey): number {
    const { board, listEntries } = this.#options;
    const seenVersions = ranks.flatMap(({ report }) => [
      report.mapVersion,
      report.preparedVersion ?? 0,
    ]);
    const block = Math.floor(Math.max(...seenVersions, this.#lastVersion) / VERSION_STRIDE);
    this.#lastVersion = (block + 1) * VERSION_STRIDE + listEntries().indexOf(board.name) + 1;
    return this.#lastVersion;
  }
}
