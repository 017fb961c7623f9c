import assert from 'node:assert/strict';
import {test} from 'node:test';

import {Heartbeat} from './heartbeat.js';
import {PeerTable} from './peer_table.js';

function heartbeat(member: string, fields: Partial<Heartbeat> = {}): Heartbeat {
  return {
    member,
    incarnation: '1',
    sequence: 1,
    missedAgesMs: {},
    upMs: 10_000,
    isLeaving: false,
    ownershipRevision: 0,
    configurationRevision: 0,
    load: null,
    ...fields,
  };
}

function table(): PeerTable {
  return new PeerTable({self: 'a', peers: ['b', 'c'], startMs: 0});
}

test('does not suspect a member that another live member still hears', () => {
  // Guards against a takeover when only the link between two members fails.
  const peers = table();
  peers.record(heartbeat('b'), 0);
  peers.record(heartbeat('c', {sequence: 1}), 0);
  peers.record(heartbeat('c', {sequence: 2}), 1500);
  assert.equal(peers.isLive('b', 1600), true);
  const late = {sequence: 3, missedAgesMs: {b: 1100}};
  peers.record(heartbeat('c', late), 1900);
  assert.equal(peers.isLive('b', 1900), true);
  assert.equal(peers.isLive('b', 2000), false);
});

test('does not suspect peers after a pause of its own process', () => {
  // Guards against a takeover by a process that was suspended and resumed, and
  // that mistakes its own pause for silence of its peers.
  const peers = table();
  peers.record(heartbeat('b'), 0);
  peers.tick(400);
  peers.tick(30_400);
  assert.equal(peers.isLive('b', 30_400), true);
  assert.equal(peers.isLive('b', 32_000), false);
});

test('ignores an older heartbeat of the same incarnation', () => {
  // Guards against delayed messages that make a silent member look alive.
  const peers = table();
  assert.equal(peers.record(heartbeat('b', {sequence: 5}), 0), true);
  assert.equal(peers.record(heartbeat('b', {sequence: 4}), 5000), false);
  assert.equal(peers.isLive('b', 5000), false);
  const restarted = heartbeat('b', {sequence: 1, incarnation: '2'});
  assert.equal(peers.record(restarted, 5000), true);
});
