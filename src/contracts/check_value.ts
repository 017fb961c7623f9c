import {z} from 'zod';

import {ResultCodes} from '../result_codes/result_code.js';
import {ResultError} from '../result_codes/result_error.js';

/** An invalid key or value and the description of the problem. */
export interface ValueIssue {
  key: string;
  text: string;
}

function formatValueAt(input: unknown, path: readonly PropertyKey[]): string {
  let value = input;
  for (const segment of path) {
    if (typeof value !== 'object' || value === null) return 'nothing';
    value = (value as Record<PropertyKey, unknown>)[segment];
  }
  return value === undefined ? 'nothing' : JSON.stringify(value);
}

function toValueIssues(input: unknown, issue: z.core.$ZodIssue): ValueIssue[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => ({
      key: [...issue.path, key].join('.'),
      text: 'unknown key',
    }));
  }
  const key = issue.path.join('.') || '(root)';
  const given = formatValueAt(input, issue.path);
  return [{key, text: `given ${given}; ${issue.message}`}];
}

/** Creates the error that lists invalid keys, given and allowed values. */
export function createValueError(
  valueName: string,
  issues: readonly ValueIssue[],
): ResultError {
  const descriptions = issues.map(({key, text}) => `${key}: ${text}`);
  return new ResultError(
    ResultCodes.BAD_REQUEST,
    `Cannot accept ${valueName}: ${descriptions.join('; ')}`,
    {info: {issues}},
  );
}

/**
 * Checks a value against a schema.
 *
 * @param valueName - Name of the value in the message, such as "contract".
 * @param input - Value as received.
 * @param schema - Schema that the value has to satisfy.
 * @returns The value with defaults filled in.
 * @throws ResultError BAD_REQUEST listing each invalid key, its value and the
 *     allowed values.
 */
export function checkValue<T>(
  valueName: string,
  input: unknown,
  schema: z.ZodType<T>,
): T {
  const result = schema.safeParse(input);
  if (result.success) return result.data;
  const issues = result.error.issues.flatMap((issue) =>
    toValueIssues(input, issue),
  );
  throw createValueError(valueName, issues);
}
