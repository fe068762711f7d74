/** The requests of a run: open-loop load from many callers, drawn from the seed. */
import type { Random } from '@radishbay/core/ports/random.js';

import type { Balancer } from '../fleet/balancer.js';
import { EXCHANGE, MODELS } from '../fleet/upstreams.js';
import { RequestKind, type SentRequest } from '../record/observation.js';
import type { SoakRecord } from '../record/soakRecord.js';

import { SoakCaller, type CallerRequest } from './soakCaller.js';

const CALLERS = 30;

/** Mean time between two requests, over all callers. */
const MEAN_GAP_MS = 12;

/** Fraction of the requests before which a caller reconnects; most keep their connections. */
const RECONNECT_RATIO = 0.05;

/** Fraction of the resumable streams that their callers abandon. */
const ABANDON_RATIO = 0.05;

/** Latest time after sending at which a caller abandons its stream. */
const ABANDON_MAX_MS = 400;

/** Timeout of each route, as in the configuration of the soak. */
const ROUTE_TIMEOUT_MS = 2_000;

/** Time that callers wait beyond the route timeout, so that the entry ends the request first. */
const CALLER_TIMEOUT_MARGIN_MS = 3_000;

const API_KEY = 'parish-key';

const WORKSPACE = 'parish';

/** A kind of request and how often it is sent. */
interface RequestProfile {
  readonly kind: RequestKind;
  readonly pool: string;
  readonly method: string;
  readonly prefix: string;
  readonly attempts: number;
  readonly ratio: number;
}

const REQUEST_PROFILES: readonly RequestProfile[] = [
  {
    kind: RequestKind.ResumableStream,
    pool: MODELS,
    method: 'POST',
    prefix: '/stream/',
    attempts: 2,
    ratio: 0.4,
  },
  {
    kind: RequestKind.PlainStream,
    pool: MODELS,
    method: 'POST',
    prefix: '/stream-once/',
    attempts: 2,
    ratio: 0.1,
  },
  {
    kind: RequestKind.Once,
    pool: EXCHANGE,
    method: 'POST',
    prefix: '/swap/',
    attempts: 2,
    ratio: 0.25,
  },
  {
    kind: RequestKind.Repeatable,
    pool: EXCHANGE,
    method: 'GET',
    prefix: '/catalogue/',
    attempts: 2,
    ratio: 0.25,
  },
];

/** Fraction of the repeatable requests that use a route or key of one generation. */
const GENERATION_RATIO = 0.4;

export interface TrafficOptions {
  readonly random: Random;
  readonly balancer: Balancer;
  readonly record: SoakRecord;
  /** Returns the generation of the newest configuration. */
  readonly readGeneration: () => number;
}

/** Sends requests until it is stopped. */
export class Traffic {
  readonly #options: TrafficOptions;

  readonly #callers = Array.from({ length: CALLERS }, () => new SoakCaller());

  readonly #inProgress = new Set<Promise<void>>();

  #timer: NodeJS.Timeout | undefined;

  #count = 0;

  constructor(options: TrafficOptions) {
    this.#options = options;
  }

  start(): void {
    this.#timer = setTimeout(
      () => {
        const sending = this.#send().finally(() => this.#inProgress.delete(sending));
        this.#inProgress.add(sending);
        this.start();
      },
      this.#options.random.next() * 2 * MEAN_GAP_MS,
    );
  }

  /** Stops sending and waits for all responses. */
  async stop(): Promise<void> {
    clearTimeout(this.#timer);
    await Promise.all(this.#inProgress);
    this.#callers.forEach((caller) => caller.stop());
  }

  async #send(): Promise<void> {
    const { random, balancer, record } = this.#options;
    const caller = this.#callers[random.nextInt(CALLERS)];
    if (!caller) return;
    if (!caller.entry || random.next() < RECONNECT_RATIO) caller.connectTo(balancer.choose(random));
    const { request, call } = this.#createRequest(caller.entry?.name ?? '');
    record.recordRequest(request);
    const { response, abort } = caller.send(call);
    const isAbandoned =
      request.kind === RequestKind.ResumableStream && random.next() < ABANDON_RATIO;
    const timer = isAbandoned && setTimeout(abort, random.next() * ABANDON_MAX_MS);
    const callerTimeout = setTimeout(abort, ROUTE_TIMEOUT_MS + CALLER_TIMEOUT_MARGIN_MS);
    const observed = await response;
    clearTimeout(callerTimeout);
    if (timer) {
      clearTimeout(timer);
      if (!observed.isWhole) record.recordCallerDisconnect(request);
    } else {
      record.recordResponse(request, observed);
      caller.handleResponse(request, observed);
    }
  }

  #createRequest(entry: string): { readonly request: SentRequest; readonly call: CallerRequest } {
    const { random } = this.#options;
    const profile = this.#drawProfile();
    this.#count += 1;
    const id = `${this.#count}-${random.nextInt(2 ** 30).toString(36)}`;
    const variant =
      profile.kind === RequestKind.Repeatable ? this.#drawGenerationVariant() : undefined;
    const path = `${variant?.prefix ?? profile.prefix}${id}`;
    const body = profile.method === 'GET' ? '' : `{"request":"${id}"}`;
    const { kind, pool, attempts, method } = profile;
    return {
      request: {
        id,
        entry,
        kind,
        pool,
        path,
        body,
        workspace: variant?.workspace ?? WORKSPACE,
        timeoutMs: ROUTE_TIMEOUT_MS,
        attempts,
        sentAtMs: performance.now(),
        generation: variant?.generation,
      },
      call: {
        method,
        path,
        body,
        key: variant?.key ?? API_KEY,
        id,
        deadlineMs: ROUTE_TIMEOUT_MS,
      },
    };
  }

  #drawProfile(): RequestProfile {
    let remaining = this.#options.random.next();
    const found = REQUEST_PROFILES.find(({ ratio }) => {
      remaining -= ratio;
      return remaining < 0;
    });
    if (!found) throw new Error('the ratios of the request profiles sum to less than 1');
    return found;
  }

  /** Draws a route or key that the newest generation has added or removed. */
  #drawGenerationVariant() {
    const { random, readGeneration } = this.#options;
    if (random.next() >= GENERATION_RATIO) return undefined;
    const generation = Math.max(1, readGeneration() - random.nextInt(2));
    if (random.next() < 0.5) return { generation, prefix: `/generation/${generation}/` };
    const key = `school-key-${generation}`;
    return { generation, key, workspace: `school-${generation}` };
  }
}
