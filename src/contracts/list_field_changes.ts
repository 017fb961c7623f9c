import {FieldChange} from './configuration_record.js';

/** Changed fields that a change records; more are only counted. */
const MAX_FIELDS = 20;

/** Characters of a value that a change records. */
const MAX_VALUE_LENGTH = 100;

function collect(
  value: unknown,
  path: string,
  into: Map<string, string>,
): Map<string, string> {
  if (typeof value === 'object' && value !== null) {
    for (const [key, part] of Object.entries(value)) {
      collect(part, path ? `${path}.${key}` : key, into);
    }
  } else if (value !== undefined) {
    into.set(path, JSON.stringify(value).slice(0, MAX_VALUE_LENGTH));
  }
  return into;
}

/** Lists the fields in which two values differ, in the order of their keys. */
export function listFieldChanges(from: unknown, to: unknown): FieldChange[] {
  const before = collect(from ?? undefined, '', new Map());
  const after = collect(to ?? undefined, '', new Map());
  const keys = [...new Set([...before.keys(), ...after.keys()])].sort();
  const changed = keys.filter((key) => before.get(key) !== after.get(key));
  const fields: FieldChange[] = changed.slice(0, MAX_FIELDS).map((key) => ({
    key,
    from: before.get(key),
    to: after.get(key),
  }));
  const left = changed.length - fields.length;
  if (left > 0) fields.push({key: `(${left} more fields)`});
  return fields;
}
