import {silentLog} from '../../testing/silent_log.js';
import {ManualClock} from '../../src/clock/manual_clock.js';
import {PartitionKeys} from '../../src/leadership/partition_keys.js';
import {CancelledJobs} from '../../src/work/cancelled_jobs.js';
import {JobTable} from '../../src/work/job_table.js';
import {heapBytes} from '../heap_bytes.js';
import {measureEventMicroseconds} from './measure_event_microseconds.js';
import {SlopeCase, SlopePoint} from './slope_case.js';

function jobIdOf(number: number): string {
  return number.toString(16).padStart(16, '0');
}

/** Cancels an ID as a node does, without its store. */
function cancel(
  cancelledJobs: CancelledJobs,
  {jobId, revision}: {jobId: string; revision: number},
): void {
  const addition = cancelledJobs.createAddition(jobId);
  if (addition.kind === 'full') return;
  for (const write of addition.transaction.write) {
    cancelledJobs.apply({...write, revision});
  }
}

function measureCancelledIds(count: number): SlopePoint {
  const clock = new ManualClock();
  const keys = new PartitionKeys('main');
  const before = heapBytes();
  const table = new JobTable(keys);
  const log = silentLog();
  const cancelledJobs = new CancelledJobs({clock, log, keys, table});
  for (let number = 0; table.entries.size < count; number++) {
    cancel(cancelledJobs, {jobId: jobIdOf(number), revision: number + 1});
  }
  const bytes = heapBytes() - before;
  let number = 0;
  const microseconds = measureEventMicroseconds(() => {
    const jobId = jobIdOf(number++);
    if (!cancelledJobs.has(jobId)) cancelledJobs.expectationOf(jobId);
  });
  return {bytes, microseconds};
}

/** Costs of IDs that were cancelled without a job, up to full lists. */
export const CANCELLED_JOBS_SLOPES: readonly SlopeCase[] = [
  {
    name: 'node: cancelled IDs without a job, one submission checked',
    per: 'ID',
    bytesAre: 'memory',
    sizes: [512, 1024, 2048, 4096, 8192],
    run: measureCancelledIds,
  },
];
