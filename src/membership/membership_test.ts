import assert from 'node:assert/strict';
import {test} from 'node:test';

import {ManualClock} from '../clock/manual_clock.js';
import {PeerNetwork} from '../links/peer_network.js';
import {SeededRandom} from '../random/seeded_random.js';
import {Membership} from './membership.js';

test('heartbeats of an entry do not keep the scheduler of its VM alive', async () => {
  // Guards against a dead scheduler that keeps its shards because the entry on
  // the same VM, which has the same member name, still sends heartbeats.
  const clock = new ManualClock();
  const network = (member: string, role: string): PeerNetwork =>
    new PeerNetwork({
      identity: {
        member,
        incarnation: '1',
        role,
        dataCentre: 'levis',
        token: 'shared-secret',
      },
      clock,
      random: new SeededRandom(1),
    });
  const receiver = network('vm-1', 'scheduler');
  const sender = network('vm-2', 'entry');
  const port = await receiver.listen('127.0.0.1', 0);
  const contents = (): {
    ownershipRevision: number;
    configurationRevision: number;
    load: null;
  } => ({ownershipRevision: 0, configurationRevision: 0, load: null});
  const address = {dataCentre: 'levis', host: '127.0.0.1'};
  const membership = new Membership({
    network: receiver,
    peers: [{...address, member: 'vm-2', role: 'scheduler', port: 9}],
    clock,
    contents,
  });
  const received = new Promise<string>((resolve) =>
    membership.onHeartbeat((_heartbeat, from) => resolve(from.role)),
  );
  const entryMembership = new Membership({
    network: sender,
    peers: [],
    listeners: [{...address, member: 'vm-1', role: 'scheduler', port}],
    clock,
    heartbeatMs: 10,
    contents,
  });
  assert.equal(await received, 'entry');
  assert.deepEqual(
    membership.liveMembers().map(({member}) => member),
    ['vm-1'],
  );
  membership.stop();
  entryMembership.stop();
  await sender.stop();
  await receiver.stop();
});
