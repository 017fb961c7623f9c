import {WorkerReport} from '../../src/workers/worker_client.js';
import {measureEventMicroseconds} from './measure_event_microseconds.js';
import {SlopeCase, SlopePoint} from './slope_case.js';

function createWorkerReport(tasks: number): WorkerReport {
  const resources = {processors: 3, memoryMegabytes: 9000, accelerators: 0};
  return {
    worker: 'limoilou-worker-1017',
    incarnation: 'limoilou-worker-1017#3',
    clockMs: 86_400_123.456,
    capacity: {processors: 32, memoryMegabytes: 125_000, accelerators: 2},
    leaving: false,
    tasks: Array.from({length: tasks}, (_, index) => ({
      taskId: `team-117.limoilou.4f1c9a7e-52f0-4f0e-9a52-2f6d1f0f3a11/${index}`,
      state: 'running' as const,
      kind: 'catalogue-render',
      resources,
      usage: {processors: 2.41, memoryMegabytes: 7421, accelerators: 0},
      progress: 0.412345,
      speed: 0.93,
      throttle: 1,
      leaseUntilMs: 86_415_123.456,
    })),
  };
}

function measureRenewal(tasks: number): SlopePoint {
  const report = createWorkerReport(tasks);
  const text = JSON.stringify(report);
  const microseconds = measureEventMicroseconds(() => {
    JSON.parse(text);
  });
  return {bytes: text.length, microseconds};
}

/** Costs of the messages between a scheduler and each worker. */
export const WORKER_SLOPES: readonly SlopeCase[] = [
  {
    name: 'scheduler: answer to one renewal, body only',
    per: 'running task',
    bytesAre: 'wire',
    sizes: [1, 4, 10, 40],
    run: measureRenewal,
  },
];
