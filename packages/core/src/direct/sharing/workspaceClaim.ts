/** What one request takes from the share of its workspace. */
import type { RequestSize } from '../../model/requestSize.js';
import type { EngineCosts } from '../passModel.js';

/**
 * Bounds of the cost of a request relative to the usual one, as declared sizes can be false, and
 * the step to which it is rounded, so that sums are exact and short on the wire.
 */
const COST_MIN = 0.25;
const COST_MAX = 8;
export const COST_STEP = 0.25;

const TOKENS_PER_K = 1_000;

export interface WorkspaceClaim {
  readonly workspace: string;
  /** Share of the workspace relative to others. */
  readonly weight: number;
  /** Expected work relative to the pool's usual request. */
  readonly cost: number;
}

/** Time that an engine spends on one request, in milliseconds. */
function estimateWorkMs(costs: EngineCosts, promptTokens: number, answerTokens: number): number {
  const contextKTokens = (promptTokens + answerTokens / 2) / TOKENS_PER_K;
  const tokenMs = costs.decodeMs + costs.contextMsPerKTokens * contextKTokens;
  return promptTokens / costs.prefillTokensPerMs + answerTokens * tokenMs;
}

/**
 * Estimates the work of a request relative to the pool's usual one; 1 where either is unknown. The
 * caller's hint counts up to its own limit; without a hint the usual answer is assumed.
 */
export function estimateCost(
  size: RequestSize | undefined,
  costs: EngineCosts | undefined,
): number {
  if (!size || !costs) return 1;
  const answerTokens = Math.min(size.answerTokensMax, size.answerTokensHint ?? costs.answerTokens);
  const usualMs = estimateWorkMs(costs, costs.promptTokens, costs.answerTokens);
  const relative = estimateWorkMs(costs, size.promptTokens, answerTokens) / usualMs;
  if (!Number.isFinite(relative)) return 1;
  const rounded = Math.round(relative / COST_STEP) * COST_STEP;
  return Math.min(COST_MAX, Math.max(COST_MIN, rounded));
}
