import {IncomingHttpHeaders} from 'node:http';

import {AnswerHeaders} from '../targets/target_client.js';

/** Headers that belong to one connection and are not passed on. */
const HOP_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Request headers that this process answers or sets itself. */
const OWN_REQUEST_HEADERS = new Set([
  'authorization',
  'content-length',
  'expect',
  'host',
]);

const OWN_PREFIX = 'banyanmux-';

/** Own headers that targets get as the caller sent them. */
const PASSED_OWN_HEADERS = new Set([
  'banyanmux-idempotent',
  'banyanmux-urgency',
]);

/** Names that the `connection` header declares as belonging to it. */
function connectionNames(value: string | string[] | undefined): Set<string> {
  const text = Array.isArray(value) ? value.join(',') : (value ?? '');
  return new Set(text.split(',').map((name) => name.trim().toLowerCase()));
}

/** Returns the headers of a caller's request that a target gets. */
export function requestHeaders(
  headers: IncomingHttpHeaders,
): Record<string, string | string[]> {
  const named = connectionNames(headers.connection);
  const passed: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    const isOwn =
      OWN_REQUEST_HEADERS.has(name) ||
      (name.startsWith(OWN_PREFIX) && !PASSED_OWN_HEADERS.has(name));
    if (value === undefined || isOwn) continue;
    if (HOP_HEADERS.has(name) || named.has(name)) continue;
    passed[name] = value;
  }
  return passed;
}

/** Returns the headers of a target's answer that the caller gets. */
export function answerHeaders(
  headers: AnswerHeaders,
): Record<string, string | string[]> {
  const named = connectionNames(headers['connection']);
  const passed: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || name.startsWith(OWN_PREFIX)) continue;
    if (HOP_HEADERS.has(name) || named.has(name)) continue;
    passed[name] = value;
  }
  return passed;
}
