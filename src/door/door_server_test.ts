import assert from 'node:assert/strict';
import {ServerResponse} from 'node:http';
import {connect} from 'node:net';
import {test} from 'node:test';

import {freePorts} from '../../testing/free_ports.js';
import {ManualClock} from '../clock/manual_clock.js';
import {sleep} from '../clock/sleep.js';
import {DEFAULT_DOOR_LIMITS, DoorLimits} from './door_limits.js';
import {DoorServer} from './door_server.js';

const REQUEST = 'GET / HTTP/1.1\r\nhost: h\r\n\r\n';

/** Time in ms in which bytes on a loopback connection have arrived. */
const ARRIVAL_MS = 200;

interface Fixture {
  server: DoorServer;
  port: number;
  /** Responses that the listener has not sent. */
  waiting: ServerResponse[];
}

async function listen(limits: Partial<DoorLimits> = {}): Promise<Fixture> {
  const waiting: ServerResponse[] = [];
  const [port] = await freePorts(1);
  const server = new DoorServer({
    address: {host: '127.0.0.1', port: port!},
    listener: (_request, response) => waiting.push(response),
    clock: new ManualClock(),
    limits: {...DEFAULT_DOOR_LIMITS, ...limits},
    recordRefusal: () => undefined,
  });
  await server.listen();
  return {server, port: port!, waiting};
}

/** Sends text on a connection; returns all that was received on it. */
function send(port: number, text: string): {received: () => string} {
  let received = '';
  const socket = connect({port, host: '127.0.0.1'});
  socket.on('error', () => undefined);
  socket.on('data', (bytes: Buffer) => (received += bytes.toString()));
  socket.write(text);
  return {received: () => received};
}

test('a malformed request gets no answer while an earlier one is in service', async () => {
  // Guards against a client that is told its request was refused although it is
  // in service: the answer to the next one comes first.
  const {server, port, waiting} = await listen();
  const {received} = send(port, `${REQUEST}NO REQUEST\r\n\r\n`);
  await sleep(ARRIVAL_MS);
  assert.equal(waiting.length, 1);
  assert.equal(received(), '');
  await server.close();
});

test('requests beyond those in service are refused as not run', async () => {
  // Guards against requests in service that hold memory without a bound, and
  // against incomplete ones that count as such and keep others out.
  const {server, port, waiting} = await listen({mostInService: 2});
  const incomplete = 'POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 9\r\n\r\n';
  for (let client = 0; client < 5; client++) send(port, incomplete);
  await sleep(ARRIVAL_MS);
  const first = send(port, REQUEST);
  const second = send(port, REQUEST);
  await sleep(ARRIVAL_MS);
  assert.equal(waiting.length, 7);
  const third = send(port, REQUEST);
  await sleep(ARRIVAL_MS);
  assert.equal(waiting.length, 7);
  assert.match(third.received(), /^HTTP\/1\.1 503 /);
  assert.match(third.received(), /retry-after: 1/i);
  for (const response of waiting) response.end('ok');
  await sleep(ARRIVAL_MS);
  assert.match(first.received(), /200 OK/);
  assert.match(second.received(), /200 OK/);
  await server.close();
});
