import assert from 'node:assert/strict';
import {test} from 'node:test';

import {decode, encode} from 'cbor-x';

import {JobPhase} from './job_definition.js';
import {decodeProgress, encodeProgress, TaskRecord} from './job_records.js';

function roundTrip(task: TaskRecord): TaskRecord {
  const occurrences = [{number: 0, isDone: false, steps: [[task]]}];
  const value = encodeProgress({
    version: 1,
    phase: JobPhase.RUNNING,
    occurrences,
  });
  return decodeProgress(value).occurrences[0]!.steps[0]![0]!;
}

const TASK: TaskRecord = {
  index: 3,
  run: 2,
  failures: 1,
  isDone: false,
  workerId: 'w',
  workerBornMs: 7,
  checkpoint: undefined,
  workerAddress: '127.0.0.1:1',
  crashes: undefined,
  hasBegun: false,
};

test('whether a run was seen is kept in the record of its job', () => {
  // Guards against a successor that counts a crash under a start that no owner
  // has seen, or does not count one under a run that an earlier owner saw.
  const counts = {
    caused: 1,
    causedAlone: 0,
    likely: 0,
    suspected: 1,
    beside: 0,
    inDoubt: 2,
  };
  const crashes = {counts, losses: []};
  for (const task of [TASK, {...TASK, crashes}]) {
    assert.deepEqual(roundTrip({...task, hasBegun: true}), {
      ...task,
      hasBegun: true,
    });
    assert.deepEqual(roundTrip(task), task);
  }
});

test('records of builds up to 47249dc can be read', () => {
  // Guards against jobs that are left out after an upgrade.
  const counts = {caused: 1, suspected: 0, beside: 0, immediate: 1};
  const row = [3, 2, 1, 0, 'w', 7, undefined, '127.0.0.1:1'];
  const rows = [row, [...row, {counts, losses: []}]];
  const value = encode([JobPhase.RUNNING, [[0, false, [rows]]]]);
  const [tasks] = decodeProgress(value).occurrences[0]!.steps;
  assert.deepEqual(tasks![0], TASK);
  assert.deepEqual(tasks![1]!.crashes, {counts, losses: []});
});

test('a record without a format is read, and one with it fails in older builds', () => {
  // Older builds ignore the changes beside a record. Guards against a takeover
  // by one of them that starts tasks which run already.
  const older = encode([JobPhase.RUNNING, [[0, false, [[[3, 2, 1, 0]]]]]]);
  const {version, phase, occurrences} = decodeProgress(older);
  assert.deepEqual([version, phase], [0, JobPhase.RUNNING]);
  assert.equal(occurrences[0]!.steps[0]![0]!.run, 2);
  const value = encodeProgress({version: 4, phase, occurrences});
  assert.equal(decodeProgress(value).version, 4);
  const [, readAsOccurrences] = decode(value) as unknown[];
  assert.ok(!Array.isArray(readAsOccurrences));
});
