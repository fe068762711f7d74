/** Plain ways of routing to measure against; they know the last reports and nothing else. */
import { RoutingPolicy, type RoutingQuery } from '@radishbay/core/routing/routingPolicy.js';
import { refuseNotRun } from '@radishbay/core/entry/refusal.js';
import { RefusalReason, type Refusal } from '@radishbay/core/model/reason.js';
import { Err, Ok, type Result } from '@radishbay/core/outcome.js';
import type { Random } from '@radishbay/core/ports/random.js';
import type { EntryBoard, UpstreamState } from '@radishbay/core/state/entryBoard.js';

export enum StaleMethod {
  Random = 'random',
  LeastLoaded = 'least-loaded',
  PowerOfTwo = 'power-of-two',
}

function readReportedShare({ report }: UpstreamState): number {
  return report ? report.inFlight / report.limit : 0;
}

/** Routing by the last reports alone. */
export class StaleRouting extends RoutingPolicy {
  readonly #method: StaleMethod;

  readonly #random: Random;

  constructor(method: StaleMethod, random: Random) {
    super();
    this.#method = method;
    this.#random = random;
  }

  override choose(board: EntryBoard, query: RoutingQuery): Result<string, Refusal> {
    const all = [...board.upstreams.values()];
    const open = all.filter(({ name }) => !query.excludedUpstreams.has(name));
    const chosen = this.#chooseFrom(open);
    if (chosen) return Ok(chosen.name);
    return Err(refuseNotRun(RefusalReason.NoUpstream, 0, 'no upstream is left'));
  }

  override markSent(): void {}

  override markEnded(): void {}

  override applyCacheEvents(): void {}

  #chooseFrom(open: readonly UpstreamState[]): UpstreamState | undefined {
    if (this.#method === StaleMethod.Random) return this.#draw(open);
    if (this.#method === StaleMethod.PowerOfTwo) {
      return this.#findLeast([this.#draw(open), this.#draw(open)].filter((each) => !!each));
    }
    return this.#findLeast(open);
  }

  #draw(open: readonly UpstreamState[]): UpstreamState | undefined {
    return open[this.#random.nextInt(open.length)];
  }

  #findLeast(open: readonly UpstreamState[]): UpstreamState | undefined {
    const least = Math.min(...open.map(readReportedShare));
    return this.#draw(open.filter((each) => readReportedShare(each) === least));
  }
}
