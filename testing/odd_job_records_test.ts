import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {after, before, test} from 'node:test';

import {encode} from 'cbor-x';

import {sleep} from '../src/clock/sleep.js';
import {PartitionKeys} from '../src/leadership/partition_keys.js';
import {encodeSubmission} from '../src/work/job_records.js';
import {FleetJobs} from './fleet_jobs.js';
import {NodeFleet} from './node_fleet.js';
import {simpleJob, simpleStep} from './simple_definitions.js';

const keys = new PartitionKeys('main');
const fleet = new NodeFleet({nodes: 2, workers: 2, heapLimitMb: 200});
const jobs = new FleetJobs(fleet);
before(() => fleet.start());
after(() => fleet.stop());

/** CBOR array that is nested so deeply that its decoder overflows the stack. */
const DEEP_VALUE = Buffer.alloc(700_000, 0x81);

/** Values below the key of a submission, by the id of their job. */
function oddSubmissions(): ReadonlyMap<string, Buffer> {
  const step = simpleStep();
  const job = simpleJob('odd');
  const values = [
    Buffer.alloc(0),
    Buffer.from('text'),
    encode(5),
    encode(null),
    encode({}),
    encode({definition: null, acceptedWallMs: 0}),
    encode({definition: {...job, steps: 7}, acceptedWallMs: 0}),
    encode({definition: {...job, steps: [null]}, acceptedWallMs: 0}),
    encode({
      definition: {...job, steps: [{...step, taskCount: 1e9}]},
      acceptedWallMs: 0,
    }),
    encode({
      definition: {...job, steps: [{...step, taskCount: -1}]},
      acceptedWallMs: 0,
    }),
    encode({
      definition: {...job, steps: [{...step, after: 'x'}]},
      acceptedWallMs: 0,
    }),
    encode({definition: {...job, repetitions: 'x'}, acceptedWallMs: 'x'}),
    encode({
      definition: {
        ...job,
        steps: new Array(1000).fill({...step, taskCount: 100_000}),
      },
      acceptedWallMs: 0,
    }),
    DEEP_VALUE,
  ];
  return new Map(
    values.map((value, number) => [
      `a${number}`.padEnd(16, '0'),
      Buffer.from(value),
    ]),
  );
}

/** Values below the key of the progress of a job. */
const ODD_PROGRESS = [
  Buffer.from('text'),
  encode(5),
  encode([2, 'running', 7, 1]),
  encode([2, 'running', [[0, false, [[[1e9, 1, 0, 0]]]]], 1]),
  encode([2, 'running', [[1e308, false, []]], 1]),
  DEEP_VALUE,
];

test('an owner goes on beside odd records of jobs, and so do its successors', async () => {
  // Guards against one record that ends each owner in turn: a submission that
  // is no submission, or progress that is none.
  const processIds = fleet.nodes.map(({process}) => process.pid);
  for (const [id, value] of oddSubmissions()) {
    fleet.store.store.put(keys.submission(id), value);
  }
  ODD_PROGRESS.forEach((value, number) => {
    const id = `b${number}`.padEnd(16, '0');
    const definition = simpleJob(id);
    const submission = encodeSubmission({definition, acceptedWallMs: 0});
    fleet.store.store.put(keys.progress(id), Buffer.from(value));
    fleet.store.store.put(keys.submission(id), submission);
  });
  fleet.store.store.put(keys.progress('c'.repeat(16)), Buffer.from('stray'));
  fleet.store.store.put(`${keys.progressPrefix}`, Buffer.from('stray'));
  await sleep(1500);
  await jobs.run(fleet.nodes[0]!);
  const {owner} = fleet;
  const number = fleet.nodes.indexOf(owner);
  await owner.process.kill();
  await jobs.run(fleet.nodes[1 - number]!);
  owner.process.start();
  await fleet.waitUntilReady(owner);
  await jobs.run(owner);
  const other = fleet.nodes[1 - number]!;
  assert.equal(other.process.pid, processIds[1 - number]);
  assert.deepEqual(fleet.violations, []);
});

test('an owner whose key was overwritten ends its term', async () => {
  // Guards against two nodes that act as owner: without a change to commit, the
  // former one went on to poll workers and to extend their leases.
  const {owner} = fleet;
  fleet.store.store.put(keys.owner, Buffer.from('text'));
  await sleep(2000);
  const log = readFileSync(owner.logFile, 'utf8');
  assert.match(log, /the owner key has changed/);
  fleet.store.store.remove(keys.owner);
  await jobs.run(owner);
  assert.deepEqual(fleet.violations, []);
});
