import assert from 'node:assert/strict';
import {test, TestContext} from 'node:test';

import {BusyOwner} from '../../../testing/busy_owner.js';
import {Configuration} from '../../work/configuration.js';
import {
  simpleConfiguration,
  simpleJob,
  simpleStep,
} from '../../../testing/simple_definitions.js';

const WORKERS = 300;
const TASKS_PER_JOB = 4;

/** Time in ms that the owner has to learn about its workers. */
const WARM_UP_MS = 2000;

/** Mean time in ms of a run. */
const RUN_MS = 1500;

/** Creates an owner of workers whose runs take 0.75 to 2.25 s. */
function createOwner(
  context: TestContext,
  requestMs: number,
  configuration = simpleConfiguration(),
): BusyOwner {
  return new BusyOwner(context, {
    seed: 1,
    configuration,
    workers: WORKERS,
    costs: {requestMs, changeMs: requestMs / 2},
    durationMs: (_task, random) => RUN_MS * (0.5 + random.next()),
  });
}

/** Submits jobs at a steady rate. */
function submitSteadily(
  owner: BusyOwner,
  {jobsPerSecond, forMs}: {jobsPerSecond: number; forMs: number},
): void {
  const steps = [simpleStep({taskCount: TASKS_PER_JOB, estimatedMs: RUN_MS})];
  const jobs = (jobsPerSecond * forMs) / 1000;
  for (let number = 0; number < jobs; number++) {
    const job = simpleJob(`${number}`.padStart(16, '0'), {steps});
    owner.submitAfter((number * 1000) / jobsPerSecond, job);
  }
}

/** Keeps the process of the owner busy for 1.6 s of each 2.4 s. */
function blockRepeatedly({loop}: BusyOwner): void {
  const block = (): void => {
    loop.charge(1600);
    setTimeout(block, 800);
  };
  setTimeout(block, 1);
}

test('an owner that is blocked again and again keeps its term and its runs', async (context) => {
  // The load pattern: long scheduling passes or commits, as with thousands of
  // waiting tasks. Guards against an owner that renews its own lease too late,
  // so that its term ends or its workers get no extension, and all that runs is
  // started again by the next one.
  const owner = createOwner(context, 0.2);
  await owner.loop.runUntil(WARM_UP_MS);
  blockRepeatedly(owner);
  submitSteadily(owner, {jobsPerSecond: 100, forMs: 20_000});
  await owner.loop.runUntil(WARM_UP_MS + 25_000);
  assert.equal(owner.endedTerms, 0);
  assert.equal(owner.lapsedRuns, 0);
  assert.equal(owner.stoppedRuns, 0);
  assert.equal(owner.startedRuns, owner.startedTasks);
  assert.equal(owner.endedJobs, 2000);
});

/** Keeps the process of the owner busy, so that it reads each message late. */
function delayMessages({loop}: BusyOwner, delayMs: number): void {
  const block = (): void => {
    loop.charge(delayMs);
    setTimeout(block, 1);
  };
  setTimeout(block, 1);
}

test('an owner that reads each message 200 ms late commits what it starts', async (context) => {
  // The load pattern: 400 starts and as many ends a second of 100 short jobs a
  // second. Guards against commits that wait for each other, so that a delay of
  // one message becomes one of seconds for each start and each end.
  const owner = createOwner(context, 0);
  await owner.loop.runUntil(WARM_UP_MS);
  delayMessages(owner, 200);
  submitSteadily(owner, {jobsPerSecond: 100, forMs: 20_000});
  await owner.loop.runUntil(WARM_UP_MS + 20_000);
  assert.ok(owner.endedJobs > 1500, `${owner.endedJobs} jobs ended`);
  assert.equal(owner.startedRuns, owner.startedTasks);
});

/** Time in ms from the submission in which an urgent job should end. */
const URGENT_OBJECTIVE_MS = 4000;

/** A queue of urgent jobs beside one of bulk jobs. */
function twoQueues(): Configuration {
  const configuration = simpleConfiguration();
  const [bulk] = configuration.queues;
  const urgent = {...bulk!, name: 'urgent', prefix: '/urgent/', priority: 0};
  return {...configuration, queues: [urgent, {...bulk!, priority: 2}]};
}

test('urgent jobs end in time while bulk jobs ask for twice what the owner can serve', async (context) => {
  // The load pattern: bulk jobs of 40 short tasks at 2,000 tasks a second, and
  // urgent jobs of 4 tasks at 100 tasks a second, for an owner that can serve
  // about 700 a second. Guards against starts of bulk jobs that wait in the
  // owner in such numbers that urgent ones behind them are of no more use.
  const owner = createOwner(context, 1, twoQueues());
  await owner.loop.runUntil(WARM_UP_MS);
  const urgentSteps = [simpleStep({taskCount: 4, estimatedMs: RUN_MS})];
  const bulkSteps = [simpleStep({taskCount: 40, estimatedMs: RUN_MS})];
  const submittedMs = new Map<string, number>();
  for (let number = 0; number < 500; number++) {
    const id = `${number}`.padStart(16, 'a');
    submittedMs.set(id, WARM_UP_MS + number * 40);
    const queue = 'urgent';
    owner.submitAfter(number * 40, simpleJob(id, {queue, steps: urgentSteps}));
  }
  for (let number = 0; number < 1000; number++) {
    const id = `${number}`.padStart(16, 'b');
    owner.submitAfter(number * 20, simpleJob(id, {steps: bulkSteps}));
  }
  await owner.loop.runUntil(WARM_UP_MS + 25_000);
  const inTime = [...submittedMs].filter(
    ([id, atMs]) =>
      (owner.endedMs.get(id) ?? Infinity) - atMs <= URGENT_OBJECTIVE_MS,
  );
  assert.ok(inTime.length > 450, `${inTime.length} of 500 in time`);
  assert.equal(owner.startedRuns, owner.startedTasks);
  assert.equal(owner.lapsedRuns, 0);
});
