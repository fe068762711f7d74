/** Selects the configuration that one side process needs. */
import type { ConfigChange, ConfigView } from './configView.js';
import { CONFIG_PREFIX, ConfigKind, formatConfigKey } from './object.js';

const CLASS_PREFIX = `${CONFIG_PREFIX}${ConfigKind.RequestClass}/`;

const SETTING_PREFIX = `${CONFIG_PREFIX}${ConfigKind.Setting}/`;

/** Lists the keys that apply to one upstream only; classes and settings apply to all. */
function listUpstreamKeys(config: ConfigView, upstreamName: string): readonly string[] {
  const upstream = config.get(ConfigKind.Upstream, upstreamName);
  const keys = [formatConfigKey(ConfigKind.Upstream, upstreamName)];
  if (!upstream) return keys;
  keys.push(formatConfigKey(ConfigKind.Domain, upstream.domain));
  keys.push(formatConfigKey(ConfigKind.Pool, upstream.pool));
  if (upstream.group) keys.push(formatConfigKey(ConfigKind.Group, upstream.group));
  return keys;
}

/**
 * Selects the changes after a revision that an upstream's side process needs.
 *
 * If the upstream itself changed, it may have moved to another domain or pool, whose object did not
 * change. In that case all objects that apply to it are selected, regardless of the revision.
 *
 * @param changes changes after the revision
 */
export function selectForSide(
  config: ConfigView,
  upstreamName: string,
  changes: readonly ConfigChange[],
): readonly ConfigChange[] {
  const ownKeys = new Set(listUpstreamKeys(config, upstreamName));
  const upstreamKey = formatConfigKey(ConfigKind.Upstream, upstreamName);
  const isMoved = changes.some((change) => change.key === upstreamKey);
  const source = isMoved ? config.listChanges(0) : changes;
  return source.filter(
    ({ key }) => ownKeys.has(key) || key.startsWith(CLASS_PREFIX) || key.startsWith(SETTING_PREFIX),
  );
}
