import assert from 'node:assert/strict';
import {test} from 'node:test';

import {
  simpleConfiguration,
  simpleJob,
  simpleStep,
} from '../../../testing/simple_definitions.js';
import {ArrivalOrder, JobOrder, DeadlineOrder} from './job_order.js';
import {JobState} from './job_state.js';

const SERVICE_MS = 1000;

/** Runs jobs one at a time and counts those that end within 3 s. */
function countOnTime(order: JobOrder, arrivals: readonly number[]): number {
  const queue = simpleConfiguration().queues[0]!;
  const waiting: JobState[] = [];
  let wallMs = 0;
  let next = 0;
  let onTime = 0;
  while (wallMs < 60_000) {
    while (next < arrivals.length && arrivals[next]! <= wallMs) {
      const steps = [simpleStep({estimatedMs: SERVICE_MS})];
      const job = new JobState(
        simpleJob(`job${next}`, {steps}),
        arrivals[next]!,
      );
      job.createDueOccurrences(wallMs);
      waiting.push(job);
      next += 1;
    }
    const [first] = order.sort(waiting, {wallMs, termsOf: () => queue});
    if (first) waiting.splice(waiting.indexOf(first), 1);
    wallMs += first ? SERVICE_MS : 100;
    if (first && wallMs - first.acceptedWallMs <= 3000) onTime += 1;
  }
  return onTime;
}

test('after a burst, jobs that can still end on time come first', () => {
  // 20 jobs arrive at once, then jobs arrive at the service rate. First come,
  // first served makes all later jobs late; guards against a return to it.
  const burst = Array.from({length: 20}, () => 0);
  const steady = Array.from({length: 40}, (_, index) => 1000 * (index + 1));
  const arrivals = [...burst, ...steady];
  const byArrival = countOnTime(new ArrivalOrder(), arrivals);
  const byDeadline = countOnTime(new DeadlineOrder(), arrivals);
  assert.ok(byArrival <= 5, `by arrival ${byArrival}`);
  assert.ok(byDeadline >= 35, `by deadline ${byDeadline}`);
});

test('on-time jobs go before long-running jobs of the same priority', () => {
  // Long-running jobs request nearly all CPU, and short jobs of the same
  // priority keep arriving. Guards against CPU that is all assigned to jobs
  // which never release it.
  const queue = simpleConfiguration().queues[0]!;
  const longRunning = simpleJob('watcher', {
    steps: [simpleStep({isLongRunning: true})],
  });
  const shortOnTime = simpleJob('quote', {
    steps: [simpleStep({estimatedMs: 600})],
  });
  const shortLate = simpleJob('late', {
    steps: [simpleStep({estimatedMs: 600})],
  });
  const jobs = [
    new JobState(longRunning, 1000),
    new JobState(shortLate, 2000),
    new JobState(shortOnTime, 9500),
  ];
  for (const job of jobs) job.createDueOccurrences(9500);
  const sorted = new DeadlineOrder().sort(jobs, {
    wallMs: 10_000,
    termsOf: () => queue,
  });
  assert.deepEqual(
    sorted.map(({definition}) => definition.id),
    ['quote', 'watcher', 'late'],
  );
});
