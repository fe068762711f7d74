/** Scenarios of one request's way, with a repeat of the caller where it has a key. */
import { CallerEnd } from '../fake/memoryCaller.js';
import type { World, WorldRequest } from '../world.js';

import { Scenario } from './scenario.js';

/** Time after which a caller that has no answer yet asks again. */
const CALLER_PATIENCE_MS = 12_000;
const LIMIT_MS = 40_000;

/** One request; with a key it is repeated through the other entry unless it was answered. */
export class RequestScenario extends Scenario {
  readonly name: string;

  readonly #request: WorldRequest;

  constructor(name: string, request: WorldRequest) {
    super();
    this.name = name;
    this.#request = request;
  }

  override async act(world: World): Promise<void> {
    const first = world.send('entry-1', this.#request);
    const hasEnded = () => first.caller.outcome !== CallerEnd.Waiting;
    await world.clock.advanceUntil(hasEnded, CALLER_PATIENCE_MS);
    if (!this.#request.idempotencyKey || first.caller.outcome === CallerEnd.Answered) return;
    const second = world.send('entry-2', this.#request);
    await world.clock.advanceUntil(() => second.caller.outcome !== CallerEnd.Waiting, LIMIT_MS);
  }

  override judge(): readonly string[] {
    return [];
  }
}

/** A streamed completion: repeatable. */
export const STREAM_SCENARIO = new RequestScenario('streamed-completion', {
  tag: 'stream',
  path: '/v1/completions',
  isStream: true,
});

/** A swap confirmation without a key: at most once. */
export const SWAP_SCENARIO = new RequestScenario('swap-without-key', {
  tag: 'swap',
  path: '/swaps',
  isStream: false,
});

/** A swap confirmation with a key: at most once, whatever the caller repeats. */
export const KEYED_SWAP_SCENARIO = new RequestScenario('swap-with-key', {
  tag: 'keyed-swap',
  path: '/swaps',
  isStream: false,
  idempotencyKey: 'swap-1',
});
