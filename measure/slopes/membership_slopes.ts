import {encodeFrame, FrameDecoder} from '../../src/links/frame_codec.js';
import {Heartbeat} from '../../src/membership/heartbeat.js';
import {PeerTable} from '../../src/membership/peer_table.js';
import {assignShards} from '../../src/ownership/assign_shards.js';
import {EMPTY_OWNERSHIP} from '../../src/ownership/ownership_record.js';
import {heapBytes} from '../heap_bytes.js';
import {measureEventMicroseconds} from './measure_event_microseconds.js';
import {SlopeCase, SlopePoint} from './slope_case.js';

function createMemberNames(count: number): string[] {
  return Array.from({length: count}, (_, index) => `limoilou-vm-${index + 1}`);
}

function createHeartbeat(
  sequence: number,
  members: readonly string[],
): Heartbeat {
  return {
    member: members[sequence % members.length]!,
    incarnation: '4f1c9a7e',
    sequence,
    missedAgesMs: {},
    upMs: 86_400_000,
    isLeaving: false,
    ownershipRevision: 123_456,
    configurationRevision: 654_321,
    load: {portal: 123},
  };
}

function measureHeartbeat(peers: number): SlopePoint {
  const members = createMemberNames(peers);
  const table = new PeerTable({self: 'self', peers: members, startMs: 0});
  const decoder = new FrameDecoder();
  let sequence = 0;
  const microseconds = measureEventMicroseconds(() => {
    sequence += 1;
    const body = createHeartbeat(sequence, members);
    const frame = encodeFrame({type: 'message', name: 'heartbeat', body});
    const [value] = decoder.push(frame) as [{body: Heartbeat}];
    table.record(value.body, sequence);
  });
  const body = createHeartbeat(1, members);
  return {
    bytes: encodeFrame({type: 'message', name: 'heartbeat', body}).length,
    microseconds,
  };
}

function measureAssignment(shards: number): SlopePoint {
  const names = Array.from({length: shards}, (_, index) => `rack-${index + 1}`);
  const liveMembers = createMemberNames(12).map((member) => ({
    member,
    incarnation: '1',
    upMs: 60_000,
    isLeaving: false,
  }));
  const input = {current: EMPTY_OWNERSHIP, shards: names, liveMembers};
  const current = assignShards(input)!;
  const survivors = liveMembers.slice(1);
  const microseconds = measureEventMicroseconds(() =>
    assignShards({current, shards: names, liveMembers: survivors}),
  );
  return {bytes: JSON.stringify(current).length, microseconds};
}

function measureInventory(vms: number): SlopePoint {
  const entries = Array.from({length: vms}, (_, index) => ({
    vm: `limoilou-worker-${index + 1}`,
    dataCentre: 'limoilou',
    kind: 'worker',
    host: '10.0.0.1',
    port: 7000,
    shard: `limoilou-rack-${Math.floor(index / 11) + 1}`,
    state: 'live',
  }));
  const text = JSON.stringify({vms: entries});
  const before = heapBytes();
  const parsed = JSON.parse(text) as {vms: typeof entries};
  const map = new Map(parsed.vms.map((entry) => [entry.vm, entry]));
  const bytes = heapBytes() - before;
  const microseconds = measureEventMicroseconds(() => {
    const list = JSON.parse(text) as {vms: typeof entries};
    for (const entry of list.vms) map.get(entry.vm);
  });
  return {bytes, microseconds};
}

/** Costs of the membership work of each member in its data centre. */
export const MEMBERSHIP_SLOPES: readonly SlopeCase[] = [
  {
    name: 'member: one heartbeat sent and received',
    per: 'peer',
    bytesAre: 'wire',
    sizes: [2, 8, 16, 32, 64],
    run: measureHeartbeat,
  },
  {
    name: 'member: one takeover assignment, ownership record',
    per: 'shard',
    bytesAre: 'wire',
    sizes: [4, 16, 64, 256],
    run: measureAssignment,
  },
  {
    name: 'member: VM list of its data centre, one read',
    per: 'VM',
    bytesAre: 'memory',
    sizes: [100, 400, 1600, 6400],
    run: measureInventory,
  },
];
