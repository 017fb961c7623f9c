import {FieldChange} from './configuration_record.js';

/** Largest number of recorded fields; further ones are only counted. */
const MAX_RECORDED_FIELDS = 20;

/** Largest number of recorded characters of a value. */
const MAX_VALUE_LENGTH = 100;

function flattenFields(
  value: unknown,
  path: string,
  fields: Map<string, string>,
): Map<string, string> {
  if (typeof value === 'object' && value !== null) {
    for (const [key, fieldValue] of Object.entries(value)) {
      flattenFields(fieldValue, path ? `${path}.${key}` : key, fields);
    }
  } else if (value !== undefined) {
    fields.set(path, JSON.stringify(value).slice(0, MAX_VALUE_LENGTH));
  }
  return fields;
}

/** Lists the fields in which two values differ, in the order of their keys. */
export function listFieldChanges(from: unknown, to: unknown): FieldChange[] {
  const before = flattenFields(from ?? undefined, '', new Map());
  const after = flattenFields(to ?? undefined, '', new Map());
  const keys = [...new Set([...before.keys(), ...after.keys()])].sort();
  const changed = keys.filter((key) => before.get(key) !== after.get(key));
  const fields: FieldChange[] = changed
    .slice(0, MAX_RECORDED_FIELDS)
    .map((key) => ({
      key,
      from: before.get(key),
      to: after.get(key),
    }));
  const omittedCount = changed.length - fields.length;
  if (omittedCount > 0) fields.push({key: `(${omittedCount} more fields)`});
  return fields;
}
