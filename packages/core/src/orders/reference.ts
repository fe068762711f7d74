/**
 * References between configuration objects: a referenced object must exist, and cannot be removed
 * while it is referenced.
 */
import type { ConfigView } from '../config/configView.js';
import { ConfigKind } from '../config/object.js';

/** Fields that name another object, by the kind of the object that has them. */
const REFERENCES: Partial<Record<ConfigKind, readonly { field: string; kind: ConfigKind }[]>> = {
  [ConfigKind.Upstream]: [
    { field: 'pool', kind: ConfigKind.Pool },
    { field: 'domain', kind: ConfigKind.Domain },
    { field: 'group', kind: ConfigKind.Group },
  ],
  [ConfigKind.RequestClass]: [{ field: 'pool', kind: ConfigKind.Pool }],
  [ConfigKind.Group]: [{ field: 'pool', kind: ConfigKind.Pool }],
};

/** Largest number of referring objects that an error names. */
const REFERRERS_NAMED = 5;

/** @returns an error message for a field that names a missing object, or undefined */
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
  return `${broken.field}: must name a ${broken.kind} that exists, not ${String(value[broken.field])}`;
}

/** Lists objects that name the given object, as `KIND/NAME`, up to {@link REFERRERS_NAMED}. */
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
