/** Faults of upstreams and of their links. */
import type { Random } from '@radishbay/core/ports/random.js';
import { wait } from '@radishbay/core/wait.js';
import { WorkerBehavior } from '@radishbay/fleet-platform/standin/workerStandin.js';

import type { Operators } from '../fleet/operators.js';
import { MODELS, type SoakUpstream, type Upstreams } from '../fleet/upstreams.js';
import { FaultKind, type Fault } from '../plan/fault.js';
import type { FaultTimeline } from '../record/faultTimeline.js';

import { delayLink, holdLink } from './linkFaults.js';

/** Fraction of the requests that a misbehaving upstream fails. */
const MISBEHAVE_RATIO = 0.4;

/** Time for which a restarted upstream is cold, as in the configuration of the soak. */
const COLD_MS = 3_000;

/** Time after which a group re-forms once all its ranks are up. */
const GROUP_FORM_MS = 400;

/** Time for which an upstream keeps running after it announces that it leaves. */
const LEAVING_MS = 4_000;

/** Time after a crash at which the upstream is removed from the registry. */
const REGISTRY_EXPIRY_MS = 1_500;

/** Largest request limit that an upstream names, in requests per second. */
const LIMIT_MAX_PER_S = 3;

/** Shortest time for which a limit holds: until it has to be kept, and the span of its check. */
const LIMITED_MIN_MS = 9_000;

/** Time for which the value of the header is invalid meanwhile. */
const INVALID_LIMIT_MS = 300;

const CONDUCTS = Object.values(WorkerBehavior).filter((each) => each !== WorkerBehavior.Serve);

export interface UpstreamFaultOptions {
  readonly upstreams: Upstreams;
  readonly operators: Operators;
  readonly faultTimeline: FaultTimeline;
  readonly random: Random;
}

/** Injects faults into upstreams; an upstream that is already down is skipped. */
export class UpstreamFaults {
  readonly #options: UpstreamFaultOptions;

  readonly #down = new Set<SoakUpstream>();

  constructor(options: UpstreamFaultOptions) {
    this.#options = options;
  }

  /** Injects a fault and waits for its end. */
  async inject(fault: Fault, upstream: SoakUpstream): Promise<void> {
    if (this.#down.has(upstream)) return;
    if (fault.kind === FaultKind.UpstreamLimit) {
      await this.#limitRequests(fault, upstream);
      return;
    }
    const { faultTimeline } = this.#options;
    const endFault = faultTimeline.beginFault(upstream.worker.id, performance.now());
    await this.#apply(fault, upstream);
    endFault(performance.now());
  }

  async #apply({ kind, forMs, draw }: Fault, upstream: SoakUpstream): Promise<void> {
    const { link, worker } = upstream;
    if (kind === FaultKind.UpstreamLinkHold) await holdLink(link, forMs, draw);
    else if (kind === FaultKind.UpstreamLinkDelay) await delayLink(link, forMs);
    else if (kind === FaultKind.UpstreamLinkReset) link.cut();
    else if (kind === FaultKind.UpstreamCrash) await this.#crash(upstream, forMs);
    else if (kind === FaultKind.UpstreamLeave) await this.#leave(upstream, forMs);
    else if (kind === FaultKind.UpstreamCold) await this.#makeCold(upstream);
    else {
      worker.chooseBehavior = this.#drawConduct;
      await wait(forMs);
      worker.chooseBehavior = undefined;
    }
  }

  readonly #drawConduct = (): WorkerBehavior => {
    const { random } = this.#options;
    if (random.next() >= MISBEHAVE_RATIO) return WorkerBehavior.Serve;
    return CONDUCTS[random.nextInt(CONDUCTS.length)] ?? WorkerBehavior.Refuse;
  };

  async #crash(upstream: SoakUpstream, downMs: number): Promise<void> {
    const { operators } = this.#options;
    this.#down.add(upstream);
    this.#breakGroup(upstream);
    const removalTimer = setTimeout(() => operators.unregister(upstream), REGISTRY_EXPIRY_MS);
    upstream.link.cut();
    await upstream.worker.restart(downMs);
    clearTimeout(removalTimer);
    await this.#rejoin(upstream);
  }

  async #leave(upstream: SoakUpstream, downMs: number): Promise<void> {
    const { operators } = this.#options;
    const { worker } = upstream;
    this.#down.add(upstream);
    worker.isLeaving = true;
    operators.register(upstream);
    await wait(LEAVING_MS);
    this.#breakGroup(upstream);
    operators.unregister(upstream);
    upstream.link.cut();
    await worker.restart(downMs);
    await this.#rejoin(upstream);
  }

  /** Registers a restarted upstream, which is cold; its group re-forms. */
  async #rejoin(upstream: SoakUpstream): Promise<void> {
    const { operators } = this.#options;
    const { worker } = upstream;
    worker.coldForMs = COLD_MS;
    operators.recordCold(upstream);
    operators.register(upstream);
    this.#down.delete(upstream);
    if (upstream.pool === MODELS) await this.#formGroup();
    await wait(COLD_MS);
    worker.coldForMs = 0;
    operators.recordWarm(upstream);
    if (!this.#down.has(upstream)) operators.register(upstream);
  }

  /**
   * Names a limit, and a value that is none for a moment in the middle. It does not count as a
   * fault in the timeline, as all invariants hold meanwhile.
   */
  async #limitRequests({ forMs, draw }: Fault, upstream: SoakUpstream): Promise<void> {
    const { operators } = this.#options;
    const { worker } = upstream;
    if (worker.requestLimit !== undefined) return;
    const limitPerS = Math.round(draw * LIMIT_MAX_PER_S * 10) / 10;
    const halfMs = (LIMITED_MIN_MS + forMs) / 2;
    worker.requestLimit = String(limitPerS);
    operators.recordLimit(upstream, limitPerS);
    await wait(halfMs);
    worker.requestLimit = 'no number';
    await wait(INVALID_LIMIT_MS);
    worker.requestLimit = String(limitPerS);
    await wait(halfMs);
    worker.requestLimit = undefined;
    operators.recordLimitEnd(upstream);
  }

  /** Makes a rank cold without updating its registry entry. */
  async #makeCold(upstream: SoakUpstream): Promise<void> {
    if (upstream.pool !== MODELS) return;
    this.#options.operators.recordCold(upstream);
    await wait(COLD_MS);
    this.#options.operators.recordWarm(upstream);
  }

  #breakGroup({ pool }: SoakUpstream): void {
    if (pool !== MODELS) return;
    this.#options.upstreams.group.isOpen = false;
    this.#ranks().forEach(({ worker }) =>
      Object.assign(worker, { chooseBehavior: () => WorkerBehavior.Refuse }),
    );
  }

  async #formGroup(): Promise<void> {
    if (this.#ranks().some((rank) => this.#down.has(rank))) return;
    await wait(GROUP_FORM_MS);
    if (this.#ranks().some((rank) => this.#down.has(rank))) return;
    this.#options.upstreams.group.reform();
    this.#ranks().forEach(({ worker }) => Object.assign(worker, { chooseBehavior: undefined }));
  }

  #ranks(): readonly SoakUpstream[] {
    return this.#options.upstreams.all.filter(({ pool }) => pool === MODELS);
  }
}
