/** A failure domain is drained and restored while callers go on asking. */
import { ConfigKind, DomainState, formatConfigKey } from '@radishbay/core/config/object.js';
import { OrderAction } from '@radishbay/core/model/order.js';

import type { World } from '../world.js';

import { giveOrder, OrderScenario, startTraffic } from './orderScenario.js';

const DOMAIN = 'zone-a';
const DOMAIN_KEY = formatConfigKey(ConfigKind.Domain, DOMAIN);

/** Time in which an accepted configuration is in force everywhere. */
const IN_FORCE_MS = 4_000;
const DRAINED_MS = 7_000;
const RETURNED_MS = 5_000;

/** A span in which the platform held the domain as drained. */
interface DrainedSpan {
  readonly fromMs: number;
  untilMs: number;
}

function orderOf(action: OrderAction) {
  return { action, target: DOMAIN, params: {}, isForced: false, by: 'operator-1' };
}

/** Drain and return of one failure domain. */
export class DrainScenario extends OrderScenario {
  override readonly name: string = 'drain-and-return';

  #spans: DrainedSpan[] = [];

  override async act(world: World): Promise<void> {
    this.reset();
    this.#spans = [];
    world.platform.objects.onChange((change) => {
      if (change.key === DOMAIN_KEY) this.#note(change.value);
    });
    Object.assign(world, { secondOrder: orderOf(OrderAction.RestoreDomain) });
    const stopTraffic = startTraffic(world);
    await world.clock.advance(IN_FORCE_MS / 4);
    await giveOrder(world, 'order-drain', orderOf(OrderAction.DrainDomain));
    await this.readBack(world, 'order-drain', DRAINED_MS);
    await giveOrder(world, 'order-restore', orderOf(OrderAction.RestoreDomain));
    await this.readBack(world, 'order-restore', RETURNED_MS);
    stopTraffic();
  }

  override judge(world: World): readonly string[] {
    const names = world.plan.upstreams.filter(({ domain }) => domain === DOMAIN);
    const late = names.flatMap(({ name }) =>
      world
        .getEngine(name)
        .executions.filter(({ startedAtMs }) => this.#isLate(startedAtMs))
        .map(
          ({ tag, startedAtMs }) => `${name} began ${tag} at ${startedAtMs} in a drained domain`,
        ),
    );
    return [...late, ...super.judge(world)];
  }

  #note(value: unknown): void {
    const isDrained = (value as { state?: string } | undefined)?.state === DomainState.Drained;
    const last = this.#spans[this.#spans.length - 1];
    if (last?.untilMs === Number.POSITIVE_INFINITY) last.untilMs = Date.now();
    if (isDrained) this.#spans.push({ fromMs: Date.now(), untilMs: Number.POSITIVE_INFINITY });
  }

  #isLate(startedAtMs: number): boolean {
    return this.#spans.some(
      ({ fromMs, untilMs }) => startedAtMs > fromMs + IN_FORCE_MS && startedAtMs < untilMs,
    );
  }
}
