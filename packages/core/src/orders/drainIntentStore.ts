/**
 * Prevents concurrent drains from taking the last failure domains out of service together.
 *
 * Drains of different domains write different objects, so their writes would not conflict. Each
 * drain therefore first writes its intent to one shared object, conditional on the version that its
 * check was based on: of two concurrent drains, the second conflicts, is checked again and sees the
 * first.
 */
import { z } from 'zod';

import { withCallTimeout } from '../config/callTimeout.js';
import { CONFIG_PREFIX, ConfigKind, DomainState, parseConfigKey } from '../config/object.js';
import { Err, Ok, type Result } from '../outcome.js';
import { VERSION_ABSENT, type ObjectStore, type StoreError } from '../ports/objectStore.js';

const INTENTS_KEY = 'orders-guard/drain';

const DOMAIN_PREFIX = `${CONFIG_PREFIX}${ConfigKind.Domain}/`;

/** How long an intent counts as a drain while the domain itself is unchanged. */
const INTENT_VALID_MS = 30_000;

/** Time after which the outcome of a call counts as unknown. */
const CALL_TIMEOUT_MS = 4_000;

const DRAIN_INTENTS = z.object({
  intents: z.array(
    z.object({
      domain: z.string(),
      orderId: z.string(),
      /** Version of the domain that the order was given against. */
      fromVersion: z.number(),
      atMs: z.number(),
    }),
  ),
});

type Intent = z.infer<typeof DRAIN_INTENTS>['intents'][number];

/** The state of the store that the check of a drain is based on. */
export interface DrainView {
  readonly intentsVersion: number;
  readonly intents: readonly Intent[];
  /** Names of the domains that are drained or have a valid intent. */
  readonly drained: ReadonlySet<string>;
  readonly domains: readonly string[];
}

function readState(value: unknown): unknown {
  return typeof value === 'object' && value !== null && 'state' in value ? value.state : undefined;
}

/** Repository of drain intents. */
export class DrainIntentStore {
  readonly #store: ObjectStore;

  constructor(store: ObjectStore) {
    this.#store = store;
  }

  /** Reads the state for checking a drain from the store, not from this entry's configuration. */
  async read(): Promise<Result<DrainView, StoreError>> {
    const stored = await withCallTimeout(this.#store.get(INTENTS_KEY), CALL_TIMEOUT_MS);
    if (!stored.ok) return stored;
    const listed = await withCallTimeout(this.#store.list(DOMAIN_PREFIX), CALL_TIMEOUT_MS);
    if (!listed.ok) return listed;
    const { objects } = listed.val;
    const versions = new Map(objects.map(({ key, version }) => [key, version]));
    const intents = (DRAIN_INTENTS.safeParse(stored.val?.value).data?.intents ?? []).filter(
      (intent) =>
        versions.get(DOMAIN_PREFIX + intent.domain) === intent.fromVersion &&
        Date.now() - intent.atMs < INTENT_VALID_MS,
    );
    const drained = objects
      .filter(({ value }) => readState(value) === DomainState.Drained)
      .map(({ key }) => parseConfigKey(key)?.name ?? '');
    return Ok({
      intentsVersion: stored.val?.version ?? VERSION_ABSENT,
      intents,
      drained: new Set([...drained, ...intents.map(({ domain }) => domain)]),
      domains: objects.map(({ key }) => parseConfigKey(key)?.name ?? ''),
    });
  }

  /** Writes the intent of a drain if no other intent was written since the view was read. */
  async writeIntent(
    view: DrainView,
    domain: string,
    orderId: string,
    fromVersion: number,
  ): Promise<Result<number, StoreError>> {
    const intent = { domain, orderId, fromVersion, atMs: Date.now() };
    const others = view.intents.filter((one) => one.domain !== domain);
    const value = { intents: [...others, intent] };
    const written = this.#store.put(INTENTS_KEY, value, view.intentsVersion);
    const outcome = await withCallTimeout(written, CALL_TIMEOUT_MS);
    return outcome.ok ? outcome : Err(outcome.val);
  }
}
