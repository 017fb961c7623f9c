import {z} from 'zod';

import {ResultCodes} from '../result_codes/result_code.js';
import {ResultError} from '../result_codes/result_error.js';

/** A key whose value is not allowed. */
export interface ValueIssue {
  key: string;
  text: string;
}

function givenAt(input: unknown, path: readonly PropertyKey[]): string {
  let value = input;
  for (const part of path) {
    if (typeof value !== 'object' || value === null) return 'nothing';
    value = (value as Record<PropertyKey, unknown>)[part];
  }
  return value === undefined ? 'nothing' : JSON.stringify(value);
}

function toIssues(input: unknown, issue: z.core.$ZodIssue): ValueIssue[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => ({
      key: [...issue.path, key].join('.'),
      text: 'unknown key',
    }));
  }
  const key = issue.path.join('.') || '(root)';
  const given = givenAt(input, issue.path);
  return [{key, text: `given ${given}; ${issue.message}`}];
}

/** Makes the error that names keys, given values and what is allowed. */
export function toValueError(
  what: string,
  issues: readonly ValueIssue[],
): ResultError {
  const lines = issues.map(({key, text}) => `${key}: ${text}`);
  return new ResultError(
    ResultCodes.BAD_REQUEST,
    `Cannot accept ${what}: ${lines.join('; ')}`,
    {info: {issues}},
  );
}

/**
 * Checks a value against a schema.
 *
 * @param what - What the value is, for the message.
 * @param input - Value as received.
 * @param schema - Schema that it has to satisfy.
 * @returns The value with defaults filled in.
 * @throws ResultError BAD_REQUEST naming each key, the given value and what is
 *     allowed.
 */
export function checkValue<T>(
  what: string,
  input: unknown,
  schema: z.ZodType<T>,
): T {
  const result = schema.safeParse(input);
  if (result.success) return result.data;
  const issues = result.error.issues.flatMap((issue) => toIssues(input, issue));
  throw toValueError(what, issues);
}
