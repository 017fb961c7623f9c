import assert from 'node:assert/strict';
import {connect, Socket} from 'node:net';
import {test} from 'node:test';

import fc from 'fast-check';

import {EntryBench, withBench} from '../../testing/entry_bench.js';

const LIMITS = {
  headerBytes: 4096,
  bodyBytes: 200_000,
  headerTimeoutMs: 300,
  bodyTimeoutMs: 300,
  idleMs: 300,
  connections: 40,
};
const PATH = '/v1/services/portal/work';
const KEY = 'authorization: Bearer alice\r\n';
const HOST = 'host: entry\r\n';

interface RawAnswer {
  text: string;
  elapsedMs: number;
}

/**
 * Sends bytes and reads until the connection closes or `limitMs` has passed.
 */
function send(
  bench: EntryBench,
  bytes: string | Buffer,
  limitMs = 3000,
): Promise<RawAnswer> {
  const startMs = performance.now();
  const {port} = new URL(bench.entry.origin);
  return new Promise((resolve) => {
    const socket: Socket = connect(Number(port), '127.0.0.1');
    const chunks: Buffer[] = [];
    const finish = (): void => {
      clearTimeout(timer);
      socket.destroy();
      const text = Buffer.concat(chunks).toString('latin1');
      resolve({text, elapsedMs: performance.now() - startMs});
    };
    const timer = setTimeout(finish, limitMs);
    socket.on('data', (chunk) => chunks.push(chunk));
    socket.on('error', () => undefined);
    socket.on('close', finish);
    socket.write(bytes);
  });
}

function assertCoded(text: string, status: number, code: number): void {
  assert.match(text, new RegExp(`^HTTP/1.1 ${status} `));
  assert.match(text, new RegExp(`banyanmux-code: ${code}\r\n`));
  assert.match(text, /banyanmux-outcome: did-not-run\r\n/);
  assert.match(text, /banyanmux-request-id: .+\r\n/);
}

test('invalid, oversized and slow requests get specific result codes', () =>
  // Guards against callers that exhaust memory or occupy connections and slots.
  withBench({limits: LIMITS}, async (bench) => {
    const head = `POST ${PATH} HTTP/1.1\r\n${HOST}${KEY}`;
    const close = 'connection: close\r\n';
    const large = `x-large: ${'x'.repeat(5000)}\r\n\r\n`;
    const chunk = `8000\r\n${'x'.repeat(0x8000)}\r\n`;
    const chunked = 'transfer-encoding: chunked\r\n\r\n';
    const cases: Array<[string, string, number, number]> = [
      ['head too large', head + large, 431, 2015],
      ['head unfinished', head, 408, 2000],
      [
        'declared body too large',
        `${head}${close}content-length: 200001\r\n\r\n`,
        413,
        2015,
      ],
      ['body stalls', `${head}${close}content-length: 9\r\n\r\nxx`, 400, 2000],
      ['not HTTP', 'no such thing\r\n\r\n', 400, 2000],
      ['wrong chunk', `${head}${chunked}zz\r\n`, 400, 2000],
      [
        'malformed path',
        `GET /v1/services/%zz/ HTTP/1.1\r\n${HOST}${close}${KEY}\r\n`,
        400,
        2000,
      ],
      [
        'unknown expectation',
        `GET ${PATH} HTTP/1.1\r\n${HOST}${close}${KEY}expect: tea\r\n\r\n`,
        417,
        2000,
      ],
      [
        'empty expectation',
        `GET ${PATH} HTTP/1.1\r\n${HOST}${close}${KEY}expect: \r\n\r\n`,
        417,
        2000,
      ],
      ['no host', `GET ${PATH} HTTP/1.1\r\n${close}${KEY}\r\n`, 400, 2000],
      ['no key', `GET ${PATH} HTTP/1.1\r\n${HOST}${close}\r\n`, 401, 2001],
      [
        'other service',
        `GET /v1/services/x/ HTTP/1.1\r\n${HOST}${close}${KEY}\r\n`,
        403,
        2002,
      ],
      [
        'executor path',
        `GET /v1/services/portal/a/%2e%2e/-/executor HTTP/1.1\r\n${HOST}${close}${KEY}\r\n`,
        403,
        2002,
      ],
      ['unknown route', `GET /v2 HTTP/1.1\r\n${HOST}${close}\r\n`, 404, 2003],
      [
        'no idempotency key',
        `${head}${close}banyanmux-idempotent: false\r\n\r\n`,
        400,
        2009,
      ],
      [
        'wrong urgency',
        `${head}${close}banyanmux-urgency: now\r\n\r\n`,
        400,
        2000,
      ],
      [
        'wrong timeout',
        `${head}${close}banyanmux-timeout-ms: -1\r\n\r\n`,
        400,
        2000,
      ],
    ];
    await Promise.all(
      cases.map(async ([name, bytes, status, code]) => {
        const {text} = await send(bench, bytes);
        try {
          assertCoded(text, status, code);
        } catch (error) {
          throw new Error(`${name}: ${text.slice(0, 300)}`, {cause: error});
        }
      }),
    );
    // A body without a declared length may be forwarded before it exceeds the
    // limit.
    const endless = await send(bench, head + chunked + chunk.repeat(10));
    assert.match(endless.text, /banyanmux-outcome: (did-not|may-have)-run/);
    assert.equal((await bench.entry.caller.call()).outcome, 'ran');
    assert.equal(bench.violations(), 0);
  }));

test('a slow caller occupies no slot of a target', () =>
  // Guards against callers that send a body slowly while occupying a slot.
  withBench({limits: LIMITS, target: {slots: 1}}, async (bench) => {
    const slow = send(
      bench,
      `POST ${PATH} HTTP/1.1\r\n${HOST}${KEY}content-length: 9\r\n\r\nx`,
      250,
    );
    const result = await bench.entry.caller.call({timeoutMs: 200});
    assert.equal(result.outcome, 'ran');
    await slow;
  }));

test('idle connections and connections above the limit are closed', () =>
  // Guards against connections that accumulate at the entry.
  withBench({limits: LIMITS}, async (bench) => {
    const idle = await send(bench, `GET /healthz HTTP/1.1\r\n${HOST}\r\n`);
    assert.match(idle.text, /^HTTP\/1.1 200 /);
    assert.ok(idle.elapsedMs < 2500, `closed after ${idle.elapsedMs} ms`);
    const many = await Promise.all(
      Array.from({length: 80}, () => send(bench, '', 150)),
    );
    const closed = many.filter(({elapsedMs}) => elapsedMs < 140).length;
    assert.ok(closed >= 80 - LIMITS.connections, `${closed} were closed`);
  }));

test('any bytes get a response with a result code or a closed connection', () =>
  // Guards against crashes and against responses without a result code to
  // malformed requests.
  withBench({limits: {...LIMITS, connections: 1000}}, async (bench) => {
    const text = fc.string({unit: 'binary-ascii', maxLength: 60});
    const method = fc.constantFrom('GET', 'POST', 'HEAD', 'PUT', 'X', '');
    const path = fc.oneof(
      fc.constantFrom(PATH, '/v1/jobs', '/-/reserved/x/y', '/metrics', '*'),
      text.map((part) => `/v1/services/portal/${part}`),
      text,
    );
    const name = fc.constantFrom(
      'banyanmux-timeout-ms',
      'banyanmux-idempotent',
      'idempotency-key',
      'content-length',
      'transfer-encoding',
      'connection',
      'expect',
      'x-any',
    );
    const request = fc
      .tuple(method, path, fc.array(fc.tuple(name, text), {maxLength: 4}), text)
      .map(([verb, url, headers, body]) => {
        const lines = headers.map(([key, value]) => `${key}: ${value}\r\n`);
        return `${verb} ${url} HTTP/1.1\r\n${HOST}${KEY}${lines.join('')}connection: close\r\n\r\n${body}`;
      });
    await fc.assert(
      fc.asyncProperty(fc.array(request, {minLength: 8}), async (requests) => {
        const answers = await Promise.all(
          requests.map((bytes) =>
            send(bench, Buffer.from(bytes, 'latin1'), 700),
          ),
        );
        for (const [index, {text: answer}] of answers.entries()) {
          if (answer === '') continue;
          const isPlain = /^HTTP\/1.1 \d+ [^]*text\/plain/.test(answer);
          const isCoded = answer.includes('banyanmux-code: ');
          const isContinue = answer.startsWith('HTTP/1.1 100 ');
          assert.ok(
            isPlain || isCoded || isContinue,
            `${requests[index]} got ${answer}`,
          );
        }
      }),
      {seed: 11, numRuns: 25},
    );
    assert.equal((await bench.entry.caller.call()).outcome, 'ran');
  }));
