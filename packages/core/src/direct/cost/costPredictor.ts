/**
 * Predicts the work of a request from what it declares, corrected by what was observed of earlier
 * requests of its route and workspace.
 *
 * A hint is right at the median and often far off, and an upper limit says little by itself. The
 * length of an answer is therefore the declaration, times the mean ratio of observed to declared
 * among the route's recent answers with the same basis, times the factor of the workspace.
 */
import type { RequestSize } from '../../model/requestSize.js';

import { DecayedQuantiles } from './decayedQuantiles.js';
import type { EngineWork } from './engineWork.js';
import { CostBasis, type RequestCost } from './requestCost.js';
import { WorkspaceBias } from './workspaceBias.js';

/** Answers after which an earlier one counts for 1/e: a change of mix shows within some seconds. */
const DECAY_SAMPLES = 200;

/** Range of the ratios of observed to declared. */
const RATIO_MIN = 1 / 64;
const RATIO_MAX = 64;

/** Answers of a route, as a weight, from which its own ratio is used. */
const SAMPLES_MIN = 8;

/** Routes that are remembered for each basis; a configuration has fewer. */
const ROUTES_MAX = 256;

/** Largest declaration that is believed, relative to the usual request. */
const DECLARED_FACTOR_MAX = 64;

export interface PredictionInput {
  readonly route: string;
  /** Empty where the request has none. */
  readonly workspace: string;
  readonly size: RequestSize | undefined;
}

interface Declaration {
  readonly basis: CostBasis;
  readonly tokens: number;
}

function createQuantiles(): DecayedQuantiles {
  return new DecayedQuantiles({ least: RATIO_MIN, most: RATIO_MAX, decaySamples: DECAY_SAMPLES });
}

function boundTokens(tokens: number | undefined, usual: number): number {
  return Math.max(1, Math.min(tokens ?? usual, Math.max(1, usual) * DECLARED_FACTOR_MAX));
}

/** Predictions for the requests of one pool of engines. */
export class CostPredictor {
  readonly #engine: EngineWork;

  /** Ratios of observed to declared tokens, by basis and route. */
  readonly #ratios = new Map<string, DecayedQuantiles>();

  readonly #bias = new WorkspaceBias();

  /** Ratios of observed to predicted tokens. */
  readonly errors = createQuantiles();

  constructor(engine: EngineWork) {
    this.#engine = engine;
  }

  /** Number of workspaces and routes that are remembered. */
  get recordCount(): number {
    return this.#bias.size + this.#ratios.size;
  }

  predict({ route, workspace, size }: PredictionInput): RequestCost {
    const declared = this.#readDeclaration(size);
    const promptTokens = boundTokens(size?.promptTokens, this.#engine.promptTokens);
    const answerTokensMax = size?.answerTokensMax ?? Number.POSITIVE_INFINITY;
    const factor = this.#readRatio(declared.basis, route) * this.#bias.readFactor(workspace);
    const answerTokens = Math.max(1, Math.min(declared.tokens * factor, answerTokensMax));
    return {
      route,
      workspace,
      basis: declared.basis,
      declaredTokens: declared.tokens,
      answerTokens,
      answerTokensMax,
      isDeclared: size !== undefined,
      prefillMs: this.#engine.readPrefillMs(promptTokens),
      stepMs: this.#engine.readStepMs(promptTokens, answerTokens),
      tokensPerEvent: this.#engine.stepsPerPass,
    };
  }

  /** Records the length of a complete answer. */
  noteAnswered(cost: RequestCost, tokens: number): void {
    if (tokens <= 0) return;
    const { basis, route, workspace, declaredTokens } = cost;
    this.errors.add(tokens / cost.answerTokens);
    const ratio = tokens / declaredTokens;
    const routeRatio = this.#readRatio(basis, route);
    this.#findRatios(basis, route).add(ratio / this.#bias.readFactor(workspace));
    this.#bias.add(workspace, ratio / routeRatio);
  }

  #readDeclaration(size: RequestSize | undefined): Declaration {
    const usual = this.#engine.answerTokens;
    if (size?.answerTokensHint !== undefined) {
      return { basis: CostBasis.Hint, tokens: boundTokens(size.answerTokensHint, usual) };
    }
    if (size && size.answerTokensMax > 0) {
      return { basis: CostBasis.Limit, tokens: boundTokens(size.answerTokensMax, usual) };
    }
    return { basis: CostBasis.Route, tokens: Math.max(1, usual) };
  }

  #readRatio(basis: CostBasis, route: string): number {
    const ratios = this.#ratios.get(`${basis}:${route}`);
    return (ratios && ratios.weight >= SAMPLES_MIN ? ratios.mean : undefined) ?? 1;
  }

  #findRatios(basis: CostBasis, route: string): DecayedQuantiles {
    const key = `${basis}:${route}`;
    const known = this.#ratios.get(key);
    if (known) return known;
    const oldest = this.#ratios.keys().next();
    if (this.#ratios.size >= ROUTES_MAX && !oldest.done) this.#ratios.delete(oldest.value);
    const ratios = createQuantiles();
    this.#ratios.set(key, ratios);
    return ratios;
  }
}
