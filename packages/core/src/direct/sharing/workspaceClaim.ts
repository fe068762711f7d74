/** What one request takes from the share of its workspace. */
import type { RequestSize } from '../../model/requestSize.js';
import type { EngineCosts } from '../passModel.js';
import type { EngineProfile } from '../routeTable.js';

/**
 * Bounds of what a request takes relative to the usual one, as declared sizes can be false, and the
 * step to which it is rounded, so that sums are exact and short on the wire.
 */
const FACTOR_MIN = 0.25;
const FACTOR_MAX = 8;
export const FACTOR_STEP = 0.25;

const TOKENS_PER_K = 1_000;

/** Weight of a request relative to the pool's usual one. */
export interface RequestWeight {
  /** Work of the whole request. */
  readonly work: number;
  /**
   * Work while it holds a slot, per time. A long answer also holds its slot for longer, which
   * counts by itself; with the work of the whole request it would count twice.
   */
  readonly load: number;
}

export interface WorkspaceClaim extends RequestWeight {
  readonly workspace: string;
  /** Share of the workspace relative to others. */
  readonly share: number;
}

const USUAL: RequestWeight = { work: 1, load: 1 };

interface Tokens {
  readonly promptTokens: number;
  readonly answerTokens: number;
}

/** Time that an engine spends on one request, in milliseconds. */
function estimateWorkMs(costs: EngineCosts, { promptTokens, answerTokens }: Tokens): number {
  const contextKTokens = (promptTokens + answerTokens / 2) / TOKENS_PER_K;
  const tokenMs = costs.decodeMs + costs.contextMsPerKTokens * contextKTokens;
  return promptTokens / costs.prefillTokensPerMs + answerTokens * tokenMs;
}

/** Time for which a request holds its slot while all others are taken, in milliseconds. */
function estimateHeldMs(costs: EngineCosts, slots: number, tokens: Tokens): number {
  const stepMs = costs.stepMs + slots * costs.decodeMs;
  return tokens.promptTokens / costs.prefillTokensPerMs + tokens.answerTokens * stepMs;
}

function toFactor(ratio: number): number {
  if (!Number.isFinite(ratio)) return 1;
  const rounded = Math.round(ratio / FACTOR_STEP) * FACTOR_STEP;
  return Math.min(FACTOR_MAX, Math.max(FACTOR_MIN, rounded));
}

/**
 * Weighs a request against the pool's usual one; equal where either is unknown. The caller's hint
 * counts up to its own limit; without a hint the usual answer is assumed.
 */
export function weighRequest(
  size: RequestSize | undefined,
  engine: EngineProfile | undefined,
): RequestWeight {
  if (!size || !engine?.costs) return USUAL;
  const { costs, slots } = engine;
  const { promptTokens, answerTokensMax, answerTokensHint = costs.answerTokens } = size;
  const tokens = { promptTokens, answerTokens: Math.min(answerTokensMax, answerTokensHint) };
  const work = estimateWorkMs(costs, tokens) / estimateWorkMs(costs, costs);
  const held = estimateHeldMs(costs, slots, tokens) / estimateHeldMs(costs, slots, costs);
  return { work: toFactor(work), load: toFactor(work / held) };
}
