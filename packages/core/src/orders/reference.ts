/** References among configuration objects: what is named must exist, and stays while named. */
import type { ConfigView } from '../config/configView.js';
import { ConfigKind } from '../config/object.js';

/** Fields that name another object, by kind. */
const REFERENCES: Partial<Record<ConfigKind, readonly { field: string; kind: ConfigKind }[]>> = {
  [ConfigKind.Upstream]: [
    { field: 'pool', kind: ConfigKind.Pool },
    { field: 'domain', kind: ConfigKind.Domain },
    { field: 'group', kind: ConfigKind.Group },
  ],
  [ConfigKind.RequestClass]: [{ field: 'pool', kind: ConfigKind.Pool }],
  [ConfigKind.Group]: [{ field: 'pool', kind: ConfigKind.Pool }],
};

/** Referrers named in an error. */
const REFERRERS_NAMED = 5;

/** @returns a sentence on a field that names what does not exist, or undefined */
export function findReferenceFault(
  config: ConfigView,
  kind: ConfigKind,
  value: Readonly<Record<string, unknown>>,
): string | undefined {
  const broken = (REFERENCES[kind] ?? []).find((reference) => {
    const name = value[reference.field];
    return typeof name === 'string' && !config.get(reference.kind, name);
  });
  if (!broken) return undefined;
  return `${broken.field}: an existing ${broken.kind}, and ${String(value[broken.field])} is none`;
}

/** Lists some of the objects that name an object. */
export function listReferrers(
  config: ConfigView,
  kind: ConfigKind,
  name: string,
): readonly string[] {
  const referrers = Object.values(ConfigKind).flatMap((otherKind) => {
    const fields = (REFERENCES[otherKind] ?? []).filter((reference) => reference.kind === kind);
    return config
      .list(otherKind)
      .filter((object) => {
        const value = object as unknown as Readonly<Record<string, unknown>>;
        return fields.some(({ field }) => value[field] === name);
      })
      .map((object) => `${otherKind}/${object.name}`);
  });
  return referrers.slice(0, REFERRERS_NAMED);
}
