import {createHash} from 'node:crypto';

import {request} from 'undici';

import {OPERATOR_TOKEN} from './fleet.js';

/** Hash of a key as contracts and settings keep it. */
export function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

/** Sends a call to the operators' interface of an entry. */
export async function callOperatorApi(
  origin: string,
  call: {
    method: 'GET' | 'PUT' | 'POST' | 'DELETE';
    path: string;
    body?: unknown;
    /** Revision the change is based on; 0 to create. */
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
