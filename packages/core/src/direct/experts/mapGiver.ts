/**
 * Keeps the expert maps of one pool's groups close to what is in demand.
 *
 * One entry does so at a time: the one with the lowest name among those that hear each other and
 * are not in a planned stop. That is no lock; what keeps two of them from harm is the switch
 * itself. Its versions and passes are of residues that belong to one entry alone, and a rank holds
 * one pass at a time.
 */
import type { Log } from '../../ports/log.js';
import type { Metrics } from '../../ports/metrics.js';
import type { Random } from '../../ports/random.js';
import type { FleetBoard } from '../fleetBoard.js';
import type { GroupProfile } from '../routeTable.js';

import { DemandReader, SAMPLES_MIN } from './demandReader.js';
import { areSame, surveyGroups, type GroupSurvey } from './groupSurvey.js';
import { findHold, isSettled, recoverHold } from './holdRecovery.js';
import { MapReport } from './mapReport.js';
import { searchMap, type Placement } from './mapSearch.js';
import type { RankCaller } from './rankCaller.js';
import { SteppedSwitch, SwitchOutcome } from './steppedSwitch.js';

/** Interval of the loop. */
const LOOP_MS = 100;

/** Time between two rounds after which this process must have been paused. */
const PAUSE_LIMIT_MS = 1_200;

/** Time for which a process that was paused leaves the groups alone: others may act by then. */
const STAND_BACK_MS = 2_500;

/** Time after the start in which it hears of the others: their links are dialled within 500 ms. */
const START_MS = 600;

/** Silence of a group after which any entry looks whether it is held. */
const STUCK_MS = 700;

/** Requests that have to be in flight for that: an entry in a planned stop has few. */
const STUCK_REQUESTS = 2;

/** Age of ranks' reports: what an order has changed is seen in those that are read after that. */
const REPORT_LAG_MS = 250;

/** Interval at which an entry surveys a silent group: it reads all ranks, and others do as well. */
const RESCUE_MS = 500;

/**
 * Samples that the first plan after a group has formed anew needs. The group's initial map ignores
 * demand and its backlog is largest then, so a rough plan at once beats a better one later.
 */
const FRESH_SAMPLES_MIN = 1;

/** Shortest time between two plans. */
const PLAN_MS = 1_200;

/**
 * Time after a switch that did not come about in which the next one is planned. Ranks refuse a map
 * while the last one is armed for a pass that is still to come, which takes some passes.
 */
const PLAN_AGAIN_MS = 300;

/**
 * Part by which a plan has to lower the load of the most loaded rank: it is fitted to a few
 * samples, and the next ones differ by a tenth.
 */
const GAIN_MIN = 0.15;

/** Version of the map with which a group forms. */
const FIRST_VERSION = 0;

/** Interval of surveys, by which a rank that turns slow is found; a doubt calls for one at once. */
const SURVEY_MS = 2_000;

/** Versions of one entry are this far apart, and so are the passes that it holds. */
const VERSION_STRIDE = 1_024;

export interface MapGiverOptions {
  readonly board: FleetBoard;
  readonly pool: string;
  readonly profile: GroupProfile;
  readonly caller: RankCaller;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Names of all entries, this one included, in order. */
  readonly listEntries: () => readonly string[];
}

interface KnownGroup {
  survey: GroupSurvey;
  placement: Placement;
  mapVersion: number;
}

/** Keeper of the maps of one pool. */
export class MapGiver {
  readonly #options: MapGiverOptions;

  readonly #report: MapReport;

  #group: KnownGroup | undefined;

  /** Kept while a group is surveyed anew: demand does not change with that. */
  readonly #demand: DemandReader;

  #timer: NodeJS.Timeout | undefined;

  /** Until when it gives no maps. */
  #quietUntilMs = 0;

  /** Until when it leaves the groups alone. */
  #standBackUntilMs = 0;

  #loopedAtMs = 0;

  #surveyAtMs = 0;

  #planAtMs = 0;

  #lastVersion = 0;

  #rescueAtMs = 0;

  /** When it last gave orders whose effect reports may not show yet. */
  #orderedAtMs = Number.NEGATIVE_INFINITY;

  /** Whether the last survey found no group that is whole and open. */
  #wasBroken = false;

  #isRunning = false;

  constructor(options: MapGiverOptions) {
    this.#options = options;
    this.#report = new MapReport(options);
    this.#demand = new DemandReader(options);
  }

  start(): void {
    this.#isRunning = true;
    this.#loopedAtMs = performance.now();
    this.#quietUntilMs = this.#loopedAtMs + START_MS;
    this.#schedule();
  }

  stop(): void {
    this.#isRunning = false;
    clearTimeout(this.#timer);
  }

  #schedule(): void {
    if (!this.#isRunning) return;
    this.#timer = setTimeout(() => {
      this.#round().then(() => this.#schedule());
    }, LOOP_MS);
  }

  async #round(): Promise<void> {
    const nowMs = performance.now();
    const wasPaused = nowMs - this.#loopedAtMs > PAUSE_LIMIT_MS;
    if (wasPaused) this.#standBackUntilMs = nowMs + STAND_BACK_MS;
    const isStandingBack = nowMs < this.#standBackUntilMs;
    const isGiver = !isStandingBack && nowMs >= this.#quietUntilMs && this.#isGiver();
    this.#report.noteGiver(isGiver, this.#options.board.heardPeers.size);
    if (isGiver) await this.#work(nowMs);
    else {
      this.#standBack();
      if (!isStandingBack && this.#isRescueDue(nowMs)) await this.#rescue();
    }
    this.#loopedAtMs = performance.now();
  }

  /** Whether the pool's group has given nothing for longer than any switch takes. */
  #isRescueDue(nowMs: number): boolean {
    const { board, pool } = this.#options;
    if (nowMs < this.#rescueAtMs) return false;
    if (!board.readActivity(pool).isSilent(nowMs, STUCK_MS, STUCK_REQUESTS)) return false;
    this.#rescueAtMs = nowMs + RESCUE_MS;
    return true;
  }

  /**
   * Lets a group go on whose giver is lost, before its loss is certain. That does no harm to a
   * giver that is still at work: what is completed is its own switch, by the same orders.
   */
  async #rescue(): Promise<void> {
    if (!(await this.#looksOpen())) return;
    const { board, pool, caller } = this.#options;
    const [survey] = await surveyGroups(caller, board.listPool(pool));
    if (survey) await this.#settle(survey);
  }

  #standBack(): void {
    this.#group = undefined;
    this.#surveyAtMs = 0;
    this.#options.board.knownPaces = new Map();
  }

  /**
   * Whether this entry is the one that gives orders now. Where all entries are in a planned stop,
   * as while they are restarted in turn, one of them goes on with it.
   */
  #isGiver(): boolean {
    const { board } = this.#options;
    const staying = [...board.heardPeers].filter((peer) => !board.stoppingPeers.has(peer));
    if (board.isStopping && staying.length > 0) return false;
    const others = board.isStopping ? [...board.heardPeers] : staying;
    return others.every((peer) => board.name < peer);
  }

  async #work(nowMs: number): Promise<void> {
    if (nowMs - this.#orderedAtMs < REPORT_LAG_MS) return;
    if (nowMs >= this.#surveyAtMs || this.#isRescueDue(nowMs)) await this.#survey(nowMs);
    const group = this.#group;
    if (!group) return;
    this.#watchPasses(nowMs);
    if (this.#demand.isDue(nowMs, this.#isBusy(nowMs))) await this.#readDemand(group, nowMs);
    if (nowMs >= this.#planAtMs && this.#group === group) await this.#plan(group, nowMs);
  }

  /** Passes that become slower are the first sign of a shift of demand. */
  #watchPasses(nowMs: number): void {
    const { board, pool } = this.#options;
    const activity = board.readActivity(pool);
    if (!activity.hasSlowed) return;
    activity.acceptPauses();
    this.#demand.hurry(nowMs);
  }

  /** Whether any entry has requests at the pool's upstreams. */
  #isBusy(nowMs: number): boolean {
    const { board, pool } = this.#options;
    return board.listPool(pool).some((upstream) => board.countLoad(upstream, nowMs) > 0);
  }

  async #survey(nowMs: number): Promise<void> {
    const { board, pool, caller } = this.#options;
    if (this.#wasBroken && !(await this.#looksOpen())) return;
    this.#surveyAtMs = 0;
    const [survey] = await surveyGroups(caller, board.listPool(pool));
    const known = this.#group;
    this.#group = undefined;
    this.#wasBroken = !survey;
    if (!survey) return;
    this.#notePaces(survey);
    if (!(await this.#settle(survey))) return;
    board.readBreaker(pool).noteService();
    const mapVersion = survey.ranks[0]?.report.mapVersion ?? 0;
    const isSame = known?.survey.epoch === survey.epoch && known.mapVersion === mapVersion;
    const placement = isSame ? known.placement : await this.#readPlacement(survey);
    if (!placement) return;
    this.#surveyAtMs = nowMs + SURVEY_MS;
    this.#group = { survey, placement, mapVersion };
    if (isSame) return;
    if (mapVersion === FIRST_VERSION) this.#planAtMs = 0;
  }

  /** Asks one rank of a group that was broken; all are read only when it may be open again. */
  async #looksOpen(): Promise<boolean> {
    const { board, pool, caller, random } = this.#options;
    const upstreams = board.listPool(pool);
    const upstream = upstreams[random.nextInt(upstreams.length)];
    if (!upstream) return false;
    const report = await caller.readReport(upstream.entry);
    return !report.ok || report.val.isOpen;
  }

  #notePaces({ ranks }: GroupSurvey): void {
    const nowMs = performance.now();
    ranks.forEach(({ upstream, report }) => upstream.notePace(report.pace, nowMs));
    const paces = ranks.map(({ upstream, report }) => [upstream.id, report.pace] as const);
    this.#options.board.knownPaces = new Map(paces.filter(([, pace]) => pace > 1));
  }

  /** @returns whether nothing is held or armed and all ranks have one map */
  async #settle(survey: GroupSurvey): Promise<boolean> {
    const hold = findHold(survey);
    if (!hold) return isSettled(survey);
    this.#report.noteHold(hold);
    await recoverHold(hold, {
      change: this.#createSwitch(survey),
      readPlacement: () => this.#readPlacement(survey),
      chooseVersion: () => this.#chooseVersion(survey),
    });
    this.#orderedAtMs = performance.now();
    return false;
  }

  async #readPlacement(survey: GroupSurvey): Promise<Placement | undefined> {
    const { caller, profile } = this.#options;
    const read = await Promise.all(
      survey.ranks.map(({ upstream }) => caller.readExperts(upstream.entry)),
    );
    const ranks = read.map((experts) => (experts.ok ? experts.val : undefined));
    if (!areSame(ranks.map((rank) => rank?.mapVersion))) return undefined;
    const isWhole = ranks.every((rank) => rank?.experts.length === profile.layers);
    if (!isWhole) return undefined;
    return Array.from({ length: profile.layers }, (_, layer) =>
      ranks.map((rank) => rank?.experts[layer] ?? []),
    );
  }

  async #readDemand({ survey }: KnownGroup, nowMs: number): Promise<void> {
    const { isShift, isLost } = await this.#demand.read(survey, nowMs);
    if (isLost) this.#surveyAtMs = 0;
    if (!isShift) return;
    this.#report.noteShift();
    this.#planAtMs = 0;
  }

  async #plan(group: KnownGroup, nowMs: number): Promise<void> {
    const { profile, random } = this.#options;
    const samples = this.#demand.list(nowMs);
    const isFresh = group.mapVersion === FIRST_VERSION;
    if (samples.length < (isFresh ? FRESH_SAMPLES_MIN : SAMPLES_MIN)) return;
    this.#planAtMs = nowMs + PLAN_MS;
    const found = await searchMap({
      profile,
      placement: group.placement,
      samples,
      paces: group.survey.ranks.map(({ report }) => report.pace),
      random,
    });
    const { skewBefore, skewAfter } = found;
    const isWorth = skewAfter < skewBefore * (1 - GAIN_MIN);
    this.#report.notePlan(found, samples.length, isWorth);
    if (!isWorth || !this.#isGiver()) return;
    if (await this.#isPending(group)) this.#planAtMs = performance.now() + PLAN_AGAIN_MS;
    else await this.#switch(group, found.placement);
  }

  /**
   * Whether the pass of the last switch is still to come. Armed ranks refuse another map, while at
   * the others an order that was lost may put it in the place of the right one later.
   */
  async #isPending({ survey }: KnownGroup): Promise<boolean> {
    const [rank] = survey.ranks;
    const report = rank && (await this.#options.caller.readReport(rank.upstream.entry));
    return report?.ok === true && report.val.armed !== undefined;
  }

  async #switch(group: KnownGroup, placement: Placement): Promise<void> {
    const version = this.#chooseVersion(group.survey);
    const startedAtMs = performance.now();
    const result = await this.#createSwitch(group.survey).run(version, placement);
    this.#report.noteSwitch(result, version, performance.now() - startedAtMs);
    if (result.outcome === SwitchOutcome.Done) {
      Object.assign(group, { placement, mapVersion: version });
      // By then the pass has begun, and reports are as new as that.
      this.#surveyAtMs = performance.now() + SURVEY_MS;
      return;
    }
    this.#surveyAtMs = 0;
    this.#orderedAtMs = performance.now();
    this.#planAtMs = Math.min(this.#planAtMs, performance.now() + PLAN_AGAIN_MS);
  }

  #createSwitch(survey: GroupSurvey): SteppedSwitch {
    const entries = this.#options.listEntries();
    return new SteppedSwitch({
      caller: this.#options.caller,
      survey,
      entryIndex: Math.max(0, entries.indexOf(this.#options.board.name)),
      entryCount: Math.max(1, entries.length),
      onDoubt: (rank, command, outcome) => this.#report.noteDoubt(rank, command, outcome),
    });
  }

  /** Higher than all that a rank has had, and of a residue that is this entry's alone. */
  #chooseVersion({ ranks }: GroupSurvey): number {
    const { board, listEntries } = this.#options;
    const seen = ranks.flatMap(({ report }) => [report.mapVersion, report.preparedVersion ?? 0]);
    const round = Math.floor(Math.max(...seen, this.#lastVersion) / VERSION_STRIDE);
    this.#lastVersion = (round + 1) * VERSION_STRIDE + listEntries().indexOf(board.name) + 1;
    return this.#lastVersion;
  }
}
