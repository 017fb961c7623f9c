import {createHash} from 'node:crypto';

import {request} from 'undici';

import {OPERATOR_TOKEN} from './fleet.js';

/** Hashes a key or token in the form that contracts and settings store. */
export function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

/** Sends a request to the operator API of an entry. */
export async function callOperatorApi(
  origin: string,
  call: {
    method: 'GET' | 'PUT' | 'POST' | 'DELETE';
    path: string;
    body?: unknown;
    /**
     * Revision that the change is based on; 0 to create.
     *
     * @default no precondition
     */
    ifMatch?: number;
  },
): Promise<{status: number; body: Record<string, unknown>}> {
  const headers: Record<string, string> = {
    authorization: `Bearer ${OPERATOR_TOKEN}`,
    'content-type': 'application/json',
  };
  if (call.ifMatch === 0) headers['if-none-match'] = '*';
  else if (call.ifMatch) headers['if-match'] = String(call.ifMatch);
  const answer = await request(origin + call.path, {
    method: call.method,
    headers,
    body: call.body === undefined ? null : JSON.stringify(call.body),
  });
  const text = await answer.body.text();
  const body = (text === '' ? {} : JSON.parse(text)) as Record<string, unknown>;
  return {status: answer.statusCode, body};
}
