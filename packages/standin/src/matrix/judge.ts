/**
 * The invariants of the brief, checked from the stand-ins' records after a run.
 *
 * What the balancer says of itself counts for nothing here: only what upstreams executed and what
 * callers were told.
 */
import { Outcome } from '@radishbay/core/model/reason.js';

import { formatAnswer } from './fake/answerText.js';
import { CallerEnd } from './fake/memoryCaller.js';
import type { SentRequest, World } from './world.js';

/** Routes whose requests may run only once. */
const ONCE_PATHS = new Set(['/swaps']);

function judgeAnswer(sent: SentRequest): readonly string[] {
  const { caller, request } = sent;
  if (caller.outcome === CallerEnd.Waiting) return [`${sent.id} got no final answer`];
  if (caller.outcome !== CallerEnd.Answered) return [];
  const isRight = caller.text === formatAnswer(request.tag) && caller.status === 200;
  return isRight ? [] : [`${sent.id} got ${caller.status} "${caller.text}" as a whole answer`];
}

function judgeNotRun(world: World, sent: SentRequest): readonly string[] {
  if (sent.caller.refusal?.outcome !== Outcome.NotRun) return [];
  const count = world.listExecutions(sent).length;
  return count === 0 ? [] : [`${sent.id} was called not run, and ran ${count} times`];
}

function judgeOnce(world: World): readonly string[] {
  const once = world.sent.filter(({ request }) => ONCE_PATHS.has(request.path));
  const tags = new Set(once.map(({ request }) => request.tag));
  return [...tags].flatMap((tag) => {
    const runs = [...world.engines.values()].flatMap(({ executions }) =>
      executions.filter((execution) => execution.tag === tag),
    );
    return runs.length <= 1 ? [] : [`request ${tag} ran ${runs.length} times`];
  });
}

function judgeOverruns(world: World): readonly string[] {
  return [...world.engines.values()].flatMap(({ name, overruns }) =>
    overruns.map(({ inFlight, limit }) => `${name} had ${inFlight} in flight, bears ${limit}`),
  );
}

/** @returns sentences on what was violated; empty where everything held */
export function judgeRequests(world: World): readonly string[] {
  return [
    ...world.sent.flatMap(judgeAnswer),
    ...world.sent.flatMap((sent) => judgeNotRun(world, sent)),
    ...judgeOnce(world),
    ...judgeOverruns(world),
  ];
}

/** @returns sentences on callers without a key who noticed that the platform was out of reach */
export function judgePlatformOutage(world: World): readonly string[] {
  const unserved = world.unservedCount > 0 ? ['no entry was ready for a caller'] : [];
  const noticed = world.sent
    .filter(({ request }) => request.idempotencyKey === undefined)
    .filter(({ caller }) => caller.outcome !== CallerEnd.Answered)
    .map(
      ({ id, caller }) => `${id} was ${caller.outcome} ${caller.refusal?.reason ?? ''} meanwhile`,
    );
  return [...unserved, ...noticed];
}

/** @returns sentences on what is left over once nothing is asked for any more */
export function judgeLeftovers(world: World): readonly string[] {
  const entries = [...world.entries.values()].flatMap(({ name, node }) =>
    node.inFlightCount === 0 ? [] : [`${name} still holds ${node.inFlightCount} requests`],
  );
  const engines = [...world.engines.values()].flatMap(({ name, inFlight }) =>
    inFlight === 0 ? [] : [`${name} still has ${inFlight} in flight`],
  );
  const sides = [...world.sides.values()].flatMap(({ name, board }) =>
    board.inFlight === 0 ? [] : [`side of ${name} still counts ${board.inFlight}`],
  );
  return [...entries, ...engines, ...sides];
}
