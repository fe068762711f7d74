/**
 * Follows the state of one pool's group: surveys its ranks, lets a pass go on that somebody holds,
 * and puts new maps in force.
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

/** Silence of a group after which any entry looks whether it is held. */
const STALL_AFTER_MS = 700;

/** Requests that have to be in flight for that: an entry in a planned stop has few. */
const STALL_REQUESTS_MIN = 2;

/** Age of ranks' reports: what an order has changed is seen in those that are read after that. */
const REPORT_LAG_MS = 250;

/** Interval at which an entry surveys a silent group: it reads all ranks, and others do as well. */
const STALL_CHECK_INTERVAL_MS = 500;

/** Interval of surveys, by which a rank that turns slow is found; a doubt calls for one at once. */
const SURVEY_INTERVAL_MS = 2_000;

/** Versions of one entry are this far apart, and so are the passes that it holds. */
const VERSION_STRIDE = 1_024;

export interface GroupMonitorOptions {
  readonly board: FleetBoard;
  readonly pool: string;
  readonly profile: GroupProfile;
  readonly caller: RankCaller;
  readonly random: Random;
  readonly telemetry: MapTelemetry;
  /** Names of all entries, this one included, in order. */
  readonly listEntries: () => readonly string[];
}

/** A group that is whole and open, with nothing held or armed when it was surveyed. */
export interface SettledGroup {
  readonly survey: GroupSurvey;
  readonly placement: Placement;
  readonly mapVersion: number;
}

/** Watch over one pool's group. */
export class GroupMonitor {
  readonly #options: GroupMonitorOptions;

  #group: SettledGroup | undefined;

  #nextSurveyAtMs = 0;

  #nextStallCheckAtMs = 0;

  /** When it last gave orders whose effect reports may not show yet. */
  #lastOrderAtMs = Number.NEGATIVE_INFINITY;

  /** Whether the last survey found no group that is whole and open. */
  #wasBroken = false;

  #lastVersion = 0;

  constructor(options: GroupMonitorOptions) {
    this.#options = options;
  }

  /** The group as it is known now, surveyed anew where that is due. */
  async refresh(nowMs: number): Promise<SettledGroup | undefined> {
    if (nowMs - this.#lastOrderAtMs < REPORT_LAG_MS) return undefined;
    if (nowMs >= this.#nextSurveyAtMs || this.#isStallCheckDue(nowMs)) await this.#surveyGroup(nowMs);
    return this.#group;
  }

  /** Surveys at the next round, as something does not fit what is known. */
  requestSurvey(): void {
    this.#nextSurveyAtMs = 0;
  }

  /** Forgets the group, as another entry may change it from now on. */
  forget(): void {
    this.#group = undefined;
    this.#nextSurveyAtMs = 0;
    this.#options.board.knownPaces = new Map();
  }

  /**
   * Lets a silent group go on whose giver is lost, before its loss is certain. That does no harm to
   * a giver that is still at work: what is completed is its own switch, by the same orders.
   */
  async recoverStalledGroup(nowMs: number): Promise<void> {
    if (!this.#isStallCheckDue(nowMs) || !(await this.#isAnyRankOpen())) return;
    const survey = await this.#readSurvey();
    if (survey) await this.#resolveHold(survey);
  }

  /**
   * Whether the pass of the last switch is still to come. Armed ranks refuse another map, while at
   * the others an order that was lost may put it in the place of the right one later.
   */
  async isSwitchPending({ survey }: SettledGroup): Promise<boolean> {
    const [rank] = survey.ranks;
    const report = rank && (await this.#options.caller.readReport(rank.upstream.entry));
    return report?.ok === true && report.val.armed !== undefined;
  }

  /** @returns whether the new map is in force, or will be with a pass that is settled */
  async switchMap({ survey }: SettledGroup, placement: Placement): Promise<boolean> {
    const { telemetry } = this.#options;
    const version = this.#chooseVersion(survey);
    const startedAtMs = performance.now();
    const result = await this.#createSwitch(survey).run(version, placement);
    const endedAtMs = performance.now();
    telemetry.recordSwitch(result, version, endedAtMs - startedAtMs);
    if (result.outcome === SwitchOutcome.Done) {
      this.#group = { survey, placement, mapVersion: version };
      // By then the pass has begun, and reports are as new as that.
      this.#nextSurveyAtMs = endedAtMs + SURVEY_INTERVAL_MS;
      return true;
    }
    this.#nextSurveyAtMs = 0;
    this.#lastOrderAtMs = endedAtMs;
    return false;
  }

  /** Whether the pool's group has given nothing for longer than any switch takes. */
  #isStallCheckDue(nowMs: number): boolean {
    const { board, pool } = this.#options;
    if (nowMs < this.#nextStallCheckAtMs) return false;
    if (!board.readActivity(pool).isSilent(nowMs, STALL_AFTER_MS, STALL_REQUESTS_MIN)) return false;
    this.#nextStallCheckAtMs = nowMs + STALL_CHECK_INTERVAL_MS;
    return true;
  }

  async #readSurvey(): Promise<GroupSurvey | undefined> {
    const { board, pool, caller } = this.#options;
    const [survey] = await surveyGroups(caller, board.listPool(pool));
    return survey;
  }

  async #surveyGroup(nowMs: number): Promise<void> {
    const { board, pool } = this.#options;
    if (this.#wasBroken && !(await this.#isAnyRankOpen())) return;
    this.#nextSurveyAtMs = 0;
    const survey = await this.#readSurvey();
    const previous = this.#group;
    this.#group = undefined;
    this.#wasBroken = !survey;
    if (!survey) return;
    this.#recordPaces(survey);
    if (!(await this.#resolveHold(survey))) return;
    board.readBreaker(pool).noteService();
    const mapVersion = survey.ranks[0]?.report.mapVersion ?? 0;
    const isSame = previous?.survey.epoch === survey.epoch && previous.mapVersion === mapVersion;
    const placement = isSame ? previous.placement : await this.#readPlacement(survey);
    if (!placement) return;
    this.#nextSurveyAtMs = nowMs + SURVEY_INTERVAL_MS;
    this.#group = { survey, placement, mapVersion };
  }

  /** Asks one rank of a group that was broken; all are read only when it may be open again. */
  async #isAnyRankOpen(): Promise<boolean> {
    const { board, pool, caller, random } = this.#options;
    const upstreams = board.listPool(pool);
    const upstream = upstreams[random.nextInt(upstreams.length)];
    if (!upstream) return false;
    const report = await caller.readReport(upstream.entry);
    return !report.ok || report.val.isOpen;
  }

  #recordPaces({ ranks }: GroupSurvey): void {
    const nowMs = performance.now();
    ranks.forEach(({ upstream, report }) => upstream.notePace(report.pace, nowMs));
    const paces = ranks.map(({ upstream, report }) => [upstream.id, report.pace] as const);
    this.#options.board.knownPaces = new Map(paces.filter(([, pace]) => pace > 1));
  }

  /** @returns whether nothing is held or armed and all ranks have one map */
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
    const isWhole = ranks.every((rank) => rank?.experts.length === profile.layers);
    if (!isWhole) return undefined;
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

  /** Higher than all that a rank has had, and of a residue that is this entry's alone. */
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
