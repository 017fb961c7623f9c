import assert from 'node:assert/strict';
import {connect} from 'node:net';
import {afterEach, test} from 'node:test';

import {FaultyLink} from '../../testing/faulty_link.js';
import {sleep} from '../clock/sleep.js';
import {SystemClock} from '../clock/system_clock.js';
import {SeededRandom} from '../random/seeded_random.js';
import {ResultError} from '../result_codes/result_error.js';
import {PeerNetwork} from './peer_network.js';

const SILENCE_LIMIT_MS = 1000;
const RECONNECT_LIMIT_MS = 500;

const cleanups: Array<() => Promise<void>> = [];

afterEach(async () => {
  for (const cleanup of cleanups.splice(0)) await cleanup();
});

function createNetwork(member: string, token = 'shared-secret'): PeerNetwork {
  const created = new PeerNetwork({
    identity: {
      member,
      incarnation: '1',
      role: 'entry',
      dataCentre: 'levis',
      token,
    },
    clock: new SystemClock(),
    random: new SeededRandom(3),
  });
  cleanups.push(() => created.stop());
  return created;
}

async function connectedPair(): Promise<{
  near: PeerNetwork;
  far: PeerNetwork;
  relay: FaultyLink;
  farPort: number;
}> {
  const near = createNetwork('near');
  const far = createNetwork('far');
  far.onRequest('echo', (body) => Promise.resolve(body));
  far.onRequest('never', () => new Promise(() => undefined));
  const farPort = await far.listen('127.0.0.1', 0);
  const relay = new FaultyLink({targetPort: farPort});
  cleanups.push(() => relay.stop());
  const port = await relay.listen();
  const address = {role: 'entry', dataCentre: 'levis', host: '127.0.0.1'};
  near.connect({...address, member: 'far', port});
  await until(() => near.isConnected('entry', 'far'), RECONNECT_LIMIT_MS);
  return {near, far, relay, farPort};
}

async function until(condition: () => boolean, limitMs: number): Promise<void> {
  const deadlineMs = performance.now() + limitMs;
  while (!condition()) {
    assert.ok(performance.now() < deadlineMs, `not within ${limitMs} ms`);
    await sleep(5);
  }
}

const FAR = {role: 'entry', member: 'far'};

test('reconnects when a connection goes silent', async () => {
  // Guards against links that hang forever after a middlebox has lost the state
  // of the connection and drops its packets.
  const {near, relay} = await connectedPair();
  const interrupted = near.request(FAR, 'never', {body: 1, timeoutMs: 30_000});
  relay.setFaults({forgetOpen: true});
  const startMs = performance.now();
  await assert.rejects(interrupted, (error: ResultError) => {
    assert.equal(error.code.name, 'ANSWER_LOST');
    return true;
  });
  // The idle check runs at the ping interval, so that detection can take one
  // interval longer than the limit.
  assert.ok(performance.now() - startMs < SILENCE_LIMIT_MS + 500);
  await until(() => near.isConnected('entry', 'far'), RECONNECT_LIMIT_MS);
  const answer = await near.request(FAR, 'echo', {body: 2, timeoutMs: 1000});
  assert.equal(answer, 2);
});

test('refuses a peer with a wrong token', async () => {
  // Guards against unauthenticated processes that send commands.
  const {farPort} = await connectedPair();
  const intruder = createNetwork('stranger', 'another-secret');
  intruder.connect({
    ...FAR,
    dataCentre: 'levis',
    host: '127.0.0.1',
    port: farPort,
  });
  await sleep(200);
  assert.equal(intruder.isConnected('entry', 'far'), false);
});

test('closes only the connection on which malformed data arrives', async () => {
  // Guards against a crash of the process through data that an unauthenticated
  // peer sends.
  const {near, farPort} = await connectedPair();
  const socket = connect({host: '127.0.0.1', port: farPort});
  socket.on('error', () => undefined);
  const closed = new Promise((resolve) => socket.once('close', resolve));
  socket.resume();
  socket.write(Buffer.from([0, 0, 0, 3, 0xff, 0xff, 0xff]));
  await closed;
  const answer = await near.request(FAR, 'echo', {body: 'x', timeoutMs: 1000});
  assert.equal(answer, 'x');
});
