import assert from 'node:assert/strict';
import {test} from 'node:test';

import {simpleJob, simpleStep} from '../../../testing/simple_definitions.js';
import {
  SimulatedPartition,
  SimulatedPartitionOptions,
} from '../../../testing/simulated_partition.js';
import {JobPhase, StepDefinition} from '../../work/job_definition.js';

const SEEDS = 20;
const CRASHING_TASK = 'bad.0.0.1';

/** Submits one job whose task 1 crashes its workers, and nine other jobs. */
function createPartition(
  options: Partial<SimulatedPartitionOptions> = {},
  badStep = simpleStep({taskCount: 3}),
): SimulatedPartition {
  const partition = new SimulatedPartition({
    seed: 1,
    workers: 8,
    maxAttempts: 50,
    crashingTasks: [CRASHING_TASK],
    ...options,
  });
  partition.submit(simpleJob('bad', {steps: [badStep]}));
  const steps = [simpleStep({taskCount: 3})];
  for (let number = 0; number < 9; number++) {
    partition.submit(simpleJob(`good${number}`, {steps}));
  }
  return partition;
}

function phaseOf(partition: SimulatedPartition, job: string): JobPhase {
  return partition.owner.jobs.get(job)!.phase;
}

/** Asserts that the crashing job was given up and nothing else was. */
function assertContained(partition: SimulatedPartition, message: string): void {
  assert.deepEqual(partition.violations, [], message);
  for (const [id, {phase}] of partition.owner.jobs) {
    const expected = id === 'bad' ? JobPhase.FAILED : JobPhase.SUCCEEDED;
    assert.equal(phase, expected, `${message}, ${id}`);
  }
}

test('a task that crashes each worker that starts it is given up', () => {
  // Guards against one task that takes down worker after worker, because runs
  // that are lost with their worker are repeated without a limit.
  for (let seed = 1; seed <= SEEDS; seed++) {
    const partition = createPartition({seed});
    partition.runWithoutFaults(90_000);
    assert.deepEqual(partition.violations, [], `seed ${seed}`);
    assert.equal(phaseOf(partition, 'bad'), JobPhase.FAILED, `seed ${seed}`);
  }
});

test('jobs beside a crashing task succeed', () => {
  // Guards against innocent jobs that are given up because they stood on the
  // workers that a task crashed.
  for (let seed = 1; seed <= SEEDS; seed++) {
    const partition = createPartition({seed});
    partition.runWithoutFaults(90_000);
    assertContained(partition, `seed ${seed}`);
  }
});

test('a crash counts once when the worker restarts under its id', () => {
  // Guards against a crash that goes unnoticed, or counts twice, because the
  // next incarnation answers under the same id.
  for (let seed = 1; seed <= SEEDS; seed++) {
    const partition = createPartition({seed, keepsIdAfterCrash: true});
    partition.runWithoutFaults(90_000);
    assertContained(partition, `seed ${seed}`);
  }
});

test('a crash counts once the worker is back after its lease has ended', () => {
  // Guards against a crash that is never counted because the tasks were placed
  // again before the next incarnation answered.
  for (const keepsIdAfterCrash of [false, true]) {
    for (let seed = 1; seed <= SEEDS; seed++) {
      const options = {seed, crashDownMs: 11_000, keepsIdAfterCrash};
      const partition = createPartition(options);
      partition.runWithoutFaults(150_000);
      assertContained(partition, `seed ${seed}`);
    }
  }
});

test('a successor knows of the crashes under earlier owners', () => {
  // Guards against crash counts that end with the term of an owner, so that
  // each takeover lets a task crash further workers.
  for (let seed = 1; seed <= SEEDS; seed++) {
    const partition = createPartition({seed});
    for (let takeover = 0; takeover < 12; takeover++) {
      partition.runWithoutFaults(5000);
      partition.takeOver();
    }
    partition.runWithoutFaults(60_000);
    assertContained(partition, `seed ${seed}`);
  }
});

test('several crashing tasks on busy workers are given up', () => {
  // Guards against crashing tasks that are not counted, or innocent ones that
  // are, because suspects and other tasks start on the same workers.
  const crashingJobs = ['bad0', 'bad1', 'bad2', 'bad3', 'bad4'];
  for (let seed = 1; seed <= SEEDS; seed++) {
    const partition = new SimulatedPartition({
      seed,
      workers: 10,
      maxAttempts: 50,
      crashingTasks: crashingJobs.map((id) => `${id}.0.0.0`),
    });
    for (let number = 0; number < 100; number++) {
      const id = number % 20 === 0 ? `bad${number / 20}` : `good${number}`;
      partition.submit(simpleJob(id, {steps: [simpleStep({taskCount: 3})]}));
      partition.runWithoutFaults(200);
    }
    partition.runWithoutFaults(120_000);
    assert.deepEqual(partition.violations, [], `seed ${seed}`);
    for (const [id, {phase}] of partition.owner.jobs) {
      const isBad = crashingJobs.includes(id);
      const expected = isBad ? JobPhase.FAILED : JobPhase.SUCCEEDED;
      assert.equal(phase, expected, `seed ${seed}, ${id}`);
    }
  }
});

test('no job is given up for workers that crash by themselves', () => {
  // Guards against innocent work that is given up because workers fail at
  // random, one after another.
  for (let seed = 1; seed <= SEEDS; seed++) {
    const partition = createPartition({seed, crashingTasks: []});
    for (let round = 0; round < 12; round++) {
      const ids = [...partition.workers.keys()];
      partition.crash(ids[partition.random.nextInteger(ids.length)]!);
      partition.runWithoutFaults(2500);
    }
    partition.runWithoutFaults(60_000);
    for (const [id, {phase}] of partition.owner.jobs) {
      assert.equal(phase, JobPhase.SUCCEEDED, `seed ${seed}, ${id}`);
    }
  }
});

test('no job is given up when all workers lose power again and again', () => {
  // Guards against work that is given up because a rack or a data centre was
  // down; long-running tasks are hit by each of these losses.
  const steps = [simpleStep({taskCount: 6, isLongRunning: true})];
  const partition = createPartition({crashingTasks: []});
  partition.submit(simpleJob('lasting', {steps}));
  for (let round = 0; round < 6; round++) {
    partition.advance(4000);
    for (const id of [...partition.workers.keys()]) partition.crash(id);
    partition.advance(12_000);
  }
  for (const [id, {phase}] of partition.owner.jobs) {
    assert.notEqual(phase, JobPhase.FAILED, id);
  }
});

test('a worker that was cut off and runs on has not crashed', () => {
  // Guards against work that is given up because its workers were out of reach
  // until their leases ended.
  const steps = [simpleStep({taskCount: 2, isLongRunning: true})];
  const partition = createPartition({crashingTasks: []});
  partition.submit(simpleJob('lasting', {steps}));
  for (let round = 0; round < 6; round++) {
    partition.advance(3000);
    const task = [...partition.owner.jobs.get('lasting')!.tasks()][0]!;
    const id = task.assignment?.workerId;
    if (id === undefined) continue;
    partition.disconnect(id);
    partition.advance(9000);
    partition.reconnect(id);
  }
  partition.advance(5000);
  assert.equal(phaseOf(partition, 'lasting'), JobPhase.RUNNING);
  for (const task of partition.owner.jobs.get('lasting')!.tasks()) {
    assert.ok(task.crashes.isEmpty);
    assert.equal(task.losses.length, 0);
  }
});

const KINDS_OF_STEPS: Record<string, Partial<StepDefinition>> = {
  gang: {isGang: true},
  checkpointed: {isCheckpointed: true},
  'best-effort': {usesLeftoverCpu: true},
};

for (const [kind, fields] of Object.entries(KINDS_OF_STEPS)) {
  test(`a crashing ${kind} task is given up`, () => {
    // Guards against a kind of task whose crashes are not counted.
    for (let seed = 1; seed <= SEEDS; seed++) {
      const partition = createPartition(
        {seed},
        simpleStep({taskCount: 3, ...fields}),
      );
      partition.runWithoutFaults(90_000);
      assertContained(partition, `seed ${seed}`);
    }
  });
}

test('a crashing long-running task is restarted after growing pauses', () => {
  // Guards against standing work that is given up although nobody has cancelled
  // it, and against a task that takes a worker every three seconds: with pauses
  // of up to 4 s after the 3 s of each crash, 90 s have room for 18.
  for (let seed = 1; seed <= SEEDS; seed++) {
    const partition = createPartition(
      {seed},
      simpleStep({taskCount: 3, isLongRunning: true}),
    );
    partition.runWithoutFaults(90_000);
    assert.deepEqual(partition.violations, [], `seed ${seed}`);
    const crashes = partition.countCrashes(CRASHING_TASK);
    assert.ok(crashes > 5 && crashes <= 18, `seed ${seed}: ${crashes} crashes`);
    for (const [id, {phase}] of partition.owner.jobs) {
      const expected = id === 'bad' ? JobPhase.RUNNING : JobPhase.SUCCEEDED;
      assert.equal(phase, expected, `seed ${seed}, ${id}`);
    }
  }
});

test('standing jobs outlive workers that crash one at a time', () => {
  // Guards against long-running tasks that are given up because chance ties
  // them to crashes of their workers, without one failed run.
  for (let seed = 1; seed <= SEEDS; seed++) {
    const partition = createPartition(
      {seed, crashingTasks: []},
      simpleStep({taskCount: 3, isLongRunning: true}),
    );
    for (let round = 0; round < 60; round++) {
      const ids = [...partition.workers.keys()];
      partition.crash(ids[partition.random.nextInteger(ids.length)]!);
      partition.runWithoutFaults(1200);
    }
    assert.equal(phaseOf(partition, 'bad'), JobPhase.RUNNING, `seed ${seed}`);
  }
});

test('a task that crashes workers in a later occurrence ends its job', () => {
  // Guards against a job whose later occurrences go on crashing workers.
  const partition = createPartition({crashingTasks: ['timed.1.0.0']});
  const times = {repetitions: 3, firstRunMs: 1_002_000, intervalMs: 10_000};
  partition.submit(simpleJob('timed', times));
  partition.runWithoutFaults(90_000);
  assert.deepEqual(partition.violations, []);
  assert.equal(phaseOf(partition, 'timed'), JobPhase.FAILED);
});

test('a job that is cancelled between two crashes stays cancelled', () => {
  // Guards against a cancelled job that is shown as failed, or is started
  // again, because of a crash that is counted later.
  const partition = createPartition();
  partition.advance(6000);
  partition.owner.cancel('bad');
  const crashes = partition.crashes.length;
  partition.runWithoutFaults(60_000);
  assert.equal(phaseOf(partition, 'bad'), JobPhase.CANCELLED);
  assert.equal(partition.crashes.length, crashes);
});
