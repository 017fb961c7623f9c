import assert from 'node:assert/strict';
import {createServer, Socket} from 'node:net';
import {test} from 'node:test';

import {EntryBench, withBench} from '../../testing/entry_bench.js';

test('P4: each of many concurrent callers gets its own complete response', () =>
  // Guards against responses that are mixed up or truncated under load.
  withBench({targets: 3}, async (bench) => {
    const results = await Promise.all(
      Array.from({length: 300}, (_, index) =>
        bench.entry.caller.call({
          body: `body ${index}`.repeat(1 + (index % 50) * 100),
          responseBytes: (index % 7) * 40_000,
          workMs: index % 5,
        }),
      ),
    );
    assert.deepEqual([...new Set(results.map((r) => r.outcome))], ['ran']);
    assert.ok(results.every(({isCorrect, code}) => isCorrect && code === 1000));
    assert.equal(bench.violations(), 0);
  }));

test('P4: a response truncated by the target is never complete for a caller', () =>
  // Guards against forwarding a truncated short or streamed response as
  // complete.
  withBench({}, async (bench) => {
    bench.targets[0]!.setFaults({truncate: true});
    const short = await bench.entry.caller.call({responseBytes: 100});
    assert.equal(short.outcome, 'may-have-run');
    const long = await bench.entry.caller.call({responseBytes: 400_000});
    assert.equal(long.outcome, 'no-answer');
  }));

/** Starts a target that sends the given bytes to each request, then closes. */
async function rawTarget(
  bench: EntryBench,
  answer: string,
): Promise<() => Promise<void>> {
  const sockets = new Set<Socket>();
  const status = JSON.stringify({
    target: 'target-1',
    incarnation: '1',
    epoch: 2,
    slots: 8,
    slotsInUseByEpoch: {},
    connections: 1,
    maxConnections: 64,
    leaving: false,
  });
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('data', (chunk) => {
      const isProbe = chunk.toString().startsWith('GET /-/executor');
      const head = `HTTP/1.1 200 OK\r\ncontent-length: ${status.length}\r\n\r\n`;
      if (isProbe) socket.write(head + status);
      else socket.end(answer);
    });
  });
  const port = await new Promise<number>((resolve) =>
    server.listen(0, '127.0.0.1', () =>
      resolve((server.address() as {port: number}).port),
    ),
  );
  const [vm] = bench.inventory.list();
  bench.inventory.set([{...vm!, port}]);
  bench.ownership.assign('group-1', 'vm-1', 2);
  await bench.waitUntil(
    () => bench.entry.process.fleet.states()[0]!.isAvailable,
  );
  return () => {
    for (const socket of sockets) socket.destroy();
    return new Promise((resolve) => server.close(() => resolve()));
  };
}

const LONG_CHUNK = `186a0\r\n${'x'.repeat(100_000)}\r\n`;

for (const [name, answer, outcome] of [
  ['without a length', 'HTTP/1.1 200 OK\r\n\r\nhalf', 'may-have-run'],
  [
    'with fewer bytes than declared',
    'HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 9\r\n\r\nhalf',
    'may-have-run',
  ],
  [
    'with an unfinished chunk',
    'HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n',
    'may-have-run',
  ],
  [
    'whose beginning was streamed',
    `HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n${LONG_CHUNK}`,
    'no-answer',
  ],
] as const) {
  test(`P4: a response ${name} that ends with its connection is lost`, () =>
    // Guards against treating a closed connection as the end of a response.
    withBench({}, async (bench) => {
      const stop = await rawTarget(bench, answer);
      const result = await bench.entry.caller.call({timeoutMs: 1000});
      assert.equal(result.outcome, outcome);
      await stop();
    }));
}
