import {IncomingHttpHeaders} from 'node:http';

import {ResponseHeaders} from '../targets/target_client.js';

/** Headers that belong to one connection and are not passed on. */
const HOP_BY_HOP_HEADERS = new Set([
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
const TERMINATED_REQUEST_HEADERS = new Set([
  'authorization',
  'content-length',
  'expect',
  'host',
]);

const OWN_PREFIX = 'banyanmux-';

/** Own headers that targets get as the caller sent them. */
const FORWARDED_OWN_HEADERS = new Set([
  'banyanmux-idempotent',
  'banyanmux-urgency',
]);

/** Names that the `connection` header declares as belonging to it. */
function connectionOptions(value: string | string[] | undefined): Set<string> {
  const text = Array.isArray(value) ? value.join(',') : (value ?? '');
  return new Set(text.split(',').map((name) => name.trim().toLowerCase()));
}

/** Returns the headers of a caller's request that a target gets. */
export function requestHeaders(
  headers: IncomingHttpHeaders,
): Record<string, string | string[]> {
  const connectionHeaders = connectionOptions(headers.connection);
  const forwarded: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    const isOwn =
      TERMINATED_REQUEST_HEADERS.has(name) ||
      (name.startsWith(OWN_PREFIX) && !FORWARDED_OWN_HEADERS.has(name));
    if (value === undefined || isOwn) continue;
    if (HOP_BY_HOP_HEADERS.has(name) || connectionHeaders.has(name)) continue;
    forwarded[name] = value;
  }
  return forwarded;
}

/** Returns the headers of a target's answer that the caller gets. */
export function responseHeaders(
  headers: ResponseHeaders,
): Record<string, string | string[]> {
  const connectionHeaders = connectionOptions(headers['connection']);
  const forwarded: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || name.startsWith(OWN_PREFIX)) continue;
    if (HOP_BY_HOP_HEADERS.has(name) || connectionHeaders.has(name)) continue;
    forwarded[name] = value;
  }
  return forwarded;
}
