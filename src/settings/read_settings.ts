import {readFileSync} from 'node:fs';

import {
  findNodeAtLocation,
  Node,
  parseTree,
  ParseError,
  getNodeValue,
  printParseErrorCode,
} from 'jsonc-parser';
import {z} from 'zod';

import {ResultCodes} from '../result_codes/result_code.js';
import {ResultError} from '../result_codes/result_error.js';

/** One problem of a settings file. */
interface SettingsIssue {
  line: number;
  key: string;
  text: string;
}

/** Returns the line number, from 1, of an offset in the text. */
function getLineNumber(text: string, offset: number): number {
  return text.slice(0, offset).split('\n').length;
}

/** Formats the given value at a path for an error message. */
function formatValueAt(
  root: Node | undefined,
  path: Array<string | number>,
): string {
  const node = root && findNodeAtLocation(root, path);
  return node ? JSON.stringify(getNodeValue(node)) : 'nothing';
}

/** Finds the node at a path, or its nearest ancestor that exists. */
function findNearestNode(
  root: Node | undefined,
  path: Array<string | number>,
): Node | undefined {
  for (let length = path.length; root && length > 0; length--) {
    const node = findNodeAtLocation(root, path.slice(0, length));
    if (node) return node;
  }
  return root;
}

function toSchemaIssues(
  text: string,
  root: Node | undefined,
  error: z.ZodError,
): SettingsIssue[] {
  return error.issues.flatMap((issue) => {
    const path = issue.path.filter((part) => typeof part !== 'symbol');
    const unknownKeys = issue.code === 'unrecognized_keys' ? issue.keys : [];
    if (unknownKeys.length > 0) {
      return unknownKeys.map((key) => ({
        line: getLineNumber(
          text,
          findNearestNode(root, [...path, key])?.offset ?? 0,
        ),
        key: [...path, key].join('.'),
        text: 'unknown key',
      }));
    }
    return [
      {
        line: getLineNumber(text, findNearestNode(root, path)?.offset ?? 0),
        key: path.join('.') || '(root)',
        text: `given ${formatValueAt(root, path)}; ${issue.message}`,
      },
    ];
  });
}

function toSyntaxIssues(text: string, errors: ParseError[]): SettingsIssue[] {
  return errors.map((error) => ({
    line: getLineNumber(text, error.offset),
    key: '(syntax)',
    text: printParseErrorCode(error.error),
  }));
}

/**
 * Parses settings and validates them against a schema.
 *
 * @param text - JSON with comments.
 * @param schema - Schema that the value must satisfy.
 * @param file - File name to use in error messages.
 * @returns The validated value with defaults filled in.
 * @throws ResultError SETTINGS_INVALID with the file, line, key, given value
 *     and allowed values of each problem.
 */
export function parseSettings<T>(
  text: string,
  schema: z.ZodType<T>,
  file: string,
): T {
  const errors: ParseError[] = [];
  const root = parseTree(text, errors, {allowTrailingComma: true});
  let issues = toSyntaxIssues(text, errors);
  if (issues.length === 0) {
    const result = schema.safeParse(root ? getNodeValue(root) : undefined);
    if (result.success) return result.data;
    issues = toSchemaIssues(text, root, result.error);
  }
  const lines = issues.map(
    (issue) => `${file}:${issue.line}: ${issue.key}: ${issue.text}`,
  );
  throw new ResultError(
    ResultCodes.SETTINGS_INVALID,
    `Cannot read settings: ${lines.join('\n')}`,
    {info: {issues}},
  );
}

/**
 * Reads a settings file and validates it against a schema.
 *
 * @param file - Path of a file of JSON with comments.
 * @param schema - Schema that the value must satisfy.
 * @returns The validated value with defaults filled in.
 * @throws ResultError SETTINGS_INVALID if the file cannot be read or is not
 *     valid.
 */
export function readSettings<T>(file: string, schema: z.ZodType<T>): T {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    throw new ResultError(
      ResultCodes.SETTINGS_INVALID,
      `Cannot read settings file "${file}": ${(error as Error).message}`,
    );
  }
  return parseSettings(text, schema, file);
}
