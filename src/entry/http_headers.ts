import {IncomingHttpHeaders} from 'node:http';

import {ResponseHeaders} from '../targets/target_client.js';

/** Hop-by-hop headers, which are not forwarded. */
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

/** Request headers that this process handles or sets itself. */
const TERMINATED_REQUEST_HEADERS = new Set([
  'authorization',
  'content-length',
  'expect',
  'host',
]);

/** Prefix of the headers that this program defines. */
const OWN_PREFIX = 'banyanmux-';

/** Headers with {@link OWN_PREFIX} that are forwarded to targets unchanged. */
const FORWARDED_OWN_HEADERS = new Set([
  'banyanmux-idempotent',
  'banyanmux-urgency',
]);

/** Returns the header names listed in a `connection` header, in lower case. */
function connectionOptions(value: string | string[] | undefined): Set<string> {
  const text = Array.isArray(value) ? value.join(',') : (value ?? '');
  return new Set(text.split(',').map((name) => name.trim().toLowerCase()));
}

/** Returns the headers of a caller's request that are forwarded to a target. */
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

/** Returns the headers of a target's response that the caller receives. */
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
