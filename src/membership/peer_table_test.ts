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

test('a member that a living member still hears is not suspected', () => {
  // Guards against takeovers when only the link between two members is cut.
  const peers = table();
  peers.record(heartbeat('b'), 0);
  peers.record(heartbeat('c', {sequence: 1}), 0);
  peers.record(heartbeat('c', {sequence: 2}), 1500);
  assert.equal(peers.isLiving('b', 1600), true);
  const late = {sequence: 3, missedAgesMs: {b: 1100}};
  peers.record(heartbeat('c', late), 1900);
  assert.equal(peers.isLiving('b', 1900), true);
  assert.equal(peers.isLiving('b', 2000), false);
});

test('a paused member does not suspect the peers it did not listen to', () => {
  // Guards against takeovers by a process that was stopped and resumed.
  const peers = table();
  peers.record(heartbeat('b'), 0);
  peers.tick(400);
  peers.tick(30_400);
  assert.equal(peers.isLiving('b', 30_400), true);
  assert.equal(peers.isLiving('b', 32_000), false);
});

test('an older heartbeat of the same incarnation changes nothing', () => {
  // Guards against late messages that make a silent member look alive.
  const peers = table();
  assert.equal(peers.record(heartbeat('b', {sequence: 5}), 0), true);
  assert.equal(peers.record(heartbeat('b', {sequence: 4}), 5000), false);
  assert.equal(peers.isLiving('b', 5000), false);
  const restarted = heartbeat('b', {sequence: 1, incarnation: '2'});
  assert.equal(peers.record(restarted, 5000), true);
});
