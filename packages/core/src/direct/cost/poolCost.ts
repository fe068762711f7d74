/**
 * Weighs the upstreams of one pool of engines for a request by the work that each has left.
 *
 * All ranks of a group wait for the one with the most work in a pass, so the cost is what a pass
 * takes at the upstream: the requests that are decoded there while this one is, and the prompts
 * that are prefilled together with it.
 */
import { ChoiceRate } from '../../routing/choiceRate.js';
import type { SpreadOption } from '../../routing/spread.js';
import type { DirectUpstream } from '../directUpstream.js';
import type { EngineCosts } from '../passModel.js';

import { CostPredictor, type PredictionInput } from './costPredictor.js';
import type { DecayedQuantiles } from './decayedQuantiles.js';
import { EngineWork } from './engineWork.js';
import { PoolPace } from './poolPace.js';
import { ReportTimer } from './reportTimer.js';
import type { RequestCost } from './requestCost.js';
import type { PassClock, WorkLeft } from './workLeft.js';

/**
 * Weight of the time that decoding takes over the whole answer against that in the next pass. A
 * request that is about to end still prolongs the next pass, but not the answer.
 */
const LIFETIME_WEIGHT = 0.1;

/** Weight of prefills, which prolong one pass, against decoding, which prolongs many. */
const PREFILL_WEIGHT = 0.3;

/** Age of what peers tell, in milliseconds: a batch, the link, and the work of both ends. */
const NEWS_AGE_MS = 25;

/** Weight of the newest request in the usual one. */
const SMOOTHING_WEIGHT = 0.02;

/** What is known of a pool at a choice. */
export interface PoolView {
  /** Mean time of a pass; undefined before the first one. */
  readonly passMs: number | undefined;
  /** Other entries that choose on the same news. */
  readonly peers: number;
  /** Requests in flight at an upstream, from all entries. */
  readonly countLoad: (upstream: DirectUpstream) => number;
  readonly nowMs: number;
}

/** Weighs upstreams for one request. */
export interface WorkWeights {
  readonly weigh: (upstream: DirectUpstream) => SpreadOption;
  /** Requests that other entries are likely to have sent since their last news. */
  readonly unreported: number;
}

/** Costs of requests at the engines of one pool. */
export class PoolCost {
  readonly #predictor: CostPredictor;

  readonly reports = new ReportTimer();

  readonly #pace: PoolPace;

  readonly #engine: EngineWork;

  readonly #rate = new ChoiceRate();

  /** Work of a usual request that is half done, for those whose work is not known. */
  #usual: WorkLeft;

  #usualPrefillMs: number;

  /** @param isGroup whether the pool's upstreams are ranks of groups */
  constructor(costs: EngineCosts, isGroup: boolean) {
    this.#pace = new PoolPace(isGroup);
    this.#engine = new EngineWork(costs);
    this.#predictor = new CostPredictor(this.#engine);
    const { prefillMs, stepMs, answerTokens } = this.#predictor.predict({
      route: '',
      workspace: '',
      size: undefined,
    });
    this.#usualPrefillMs = prefillMs;
    this.#usual = { prefillMs: 0, stepMs, decodeMs: (stepMs * answerTokens) / 2 };
  }

  predict(input: PredictionInput): RequestCost {
    const cost = this.#predictor.predict(input);
    const { stepMs, answerTokens, prefillMs } = cost;
    const { stepMs: usualStepMs, decodeMs } = this.#usual;
    const decodeHalfMs = (stepMs * answerTokens) / 2;
    this.#usual = {
      prefillMs: 0,
      stepMs: usualStepMs + SMOOTHING_WEIGHT * (stepMs - usualStepMs),
      decodeMs: decodeMs + SMOOTHING_WEIGHT * (decodeHalfMs - decodeMs),
    };
    this.#usualPrefillMs += SMOOTHING_WEIGHT * (prefillMs - this.#usualPrefillMs);
    return cost;
  }

  /** Records how many events a complete answer had. */
  noteAnswered(cost: RequestCost, events: number): void {
    this.#predictor.noteAnswered(cost, events * cost.tokensPerEvent);
  }

  /**
   * Records a pause between two events of a stream.
   *
   * @param load requests in flight at the upstream
   * @returns whether the pause tells about the whole pool, not only about a slow upstream
   */
  notePause(upstream: DirectUpstream, pauseMs: number, load: number, nowMs: number): boolean {
    const expectedMs = this.#engine.readPassMs(load * this.#usual.stepMs);
    return this.#pace.notePause({ upstream, pauseMs, expectedMs }, nowMs);
  }

  /** Ratios of observed to predicted tokens of recent answers. */
  get errors(): DecayedQuantiles {
    return this.#predictor.errors;
  }

  /** Records that a request was sent. */
  noteChoice(nowMs: number): void {
    this.#rate.add(nowMs);
  }

  /** Time that one usual request adds to a pass. */
  get usualPassMs(): number {
    return this.#engine.stepsPerPass * this.#usual.stepMs;
  }

  createWeights(cost: RequestCost, view: PoolView): WorkWeights {
    const marginalMs = this.usualPassMs + PREFILL_WEIGHT * this.#usualPrefillMs;
    return {
      weigh: (upstream) => {
        const slowdown = upstream.readRecentSlowdown(view.nowMs);
        const passMs = this.#forecastPassMs(this.readLeft(upstream, view), cost);
        return { costMs: slowdown * passMs, marginalMs: slowdown * marginalMs };
      },
      unreported: view.peers * this.#rate.readPerMs(view.nowMs) * NEWS_AGE_MS,
    };
  }

  /** Work left at an upstream; requests whose work is not known count as usual ones. */
  readLeft(upstream: DirectUpstream, view: PoolView): WorkLeft {
    const { nowMs, passMs } = view;
    const clock: PassClock = { nowMs, passMs, stepsPerPass: this.#engine.stepsPerPass };
    const known = upstream.work.readLeft(clock);
    const unknown = Math.max(0, view.countLoad(upstream) - upstream.countKnownWork());
    return {
      prefillMs: known.prefillMs,
      decodeMs: known.decodeMs + unknown * this.#usual.decodeMs,
      stepMs: known.stepMs + unknown * this.#usual.stepMs,
    };
  }

  /** Time of a pass with the request, as a mean over its answer. */
  #forecastPassMs(left: WorkLeft, { answerTokens, stepMs, prefillMs }: RequestCost): number {
    const lifetimeStepMs = Math.min(left.stepMs, left.decodeMs / answerTokens);
    const meanStepMs = left.stepMs + LIFETIME_WEIGHT * (lifetimeStepMs - left.stepMs);
    const decodeMs = this.#engine.readPassMs(meanStepMs + stepMs);
    return decodeMs + PREFILL_WEIGHT * (left.prefillMs + prefillMs);
  }
}
